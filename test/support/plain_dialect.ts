/**
 * A dialect whose header names no real system uses.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http';
import { DirectDialect } from '../../src/adapters/direct_http/mod.js';
import type { AnswerInfo, CallInfo } from '../../src/adapters/direct_http/mod.js';
import { RateLimitKind } from '../../src/ports/mod.js';
import type { BackendRequest } from '../../src/ports/mod.js';

/** Header that carries the ID of the event after which a stream is resumed. */
export const RESUME_HEADER = 'x-after';

/** Reads requests and answers by `x-id`; every answer counts as authentic. */
export class PlainDialect extends DirectDialect {
  override readonly reservedHeaders: ReadonlySet<string> = new Set();

  override readCall(headers: IncomingHttpHeaders): CallInfo {
    return {
      requestId: headers['x-id'] as string | undefined,
      key: 'key-a',
      deadlineMs: undefined,
      lastEventId: undefined,
      work: { promptTokens: 0, outputTokens: 0 },
      isSized: true,
    };
  }

  override buildSystemHeaders({ deadlineMs, lastEventId }: BackendRequest): string[] {
    const headers = ['X-Deadline', String(deadlineMs)];
    return lastEventId === undefined ? headers : [...headers, RESUME_HEADER, lastEventId];
  }

  override readAnswer(_status: number, headers: IncomingHttpHeaders): AnswerInfo {
    return {
      requestId: headers['x-id'] as string | undefined,
      isAuthentic: true,
      hasNotRun: false,
      isMisdirected: false,
      load: undefined,
      notice: { kind: RateLimitKind.None },
    };
  }

  override buildRefusalHeaders(): string[] {
    return [];
  }
}
