/**
 * Abstract mapping between the properties of a call and HTTP headers.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { RequestWork } from '../../domain/backend_servers/mod.js';
import type { SchedulerError } from '../../domain/errors/mod.js';
import type { RequestPrompt } from '../../domain/requests/mod.js';
import type { BackendRequest, ServerNotice, RawHeaders, ReportedLoad } from '../../ports/mod.js';

/** Properties of a call, read from a caller's headers. */
export interface CallInfo {
  /** Undefined when the caller sent none. */
  readonly requestId: string | undefined;
  readonly key: string | undefined;
  readonly deadlineMs: number | undefined;
  readonly lastEventId: string | undefined;
  /** Request whose answer brought the first event of the stream that the caller takes up. */
  readonly resumedRequestId?: string | undefined;
  readonly work: RequestWork;
  /** What the caller says of its prompt; undefined if nothing. */
  readonly prompt?: RequestPrompt | undefined;
  /** Whether the caller declared the size of the request in tokens. */
  readonly isSized: boolean;
}

/** Properties of an answer, read from the head that a backend server sent. */
export interface AnswerInfo {
  /** ID of the request that it answers; undefined when the answer names none. */
  readonly requestId: string | undefined;
  /** Whether the answer proves that it comes from a backend server. */
  readonly isAuthentic: boolean;
  /** Whether the server states that it did not run the request. */
  readonly hasNotRun: boolean;
  /** Whether another incarnation of a server answered, and so did not run the request. */
  readonly isMisdirected: boolean;
  readonly load: ReportedLoad | undefined;
  /** What it says of its server. */
  readonly notice: ServerNotice;
}

/** Reads and builds headers; makes no decisions. */
export abstract class DirectDialect {
  /** Lower-case names of headers that callers may not set; they are not forwarded. */
  abstract readonly reservedHeaders: ReadonlySet<string>;

  /** @param headers - a caller's headers. @returns the properties of the call */
  abstract readCall(headers: IncomingHttpHeaders): CallInfo;

  /** @param request - a request to a backend server. @returns the headers that the system sets */
  abstract buildSystemHeaders(request: BackendRequest): RawHeaders;

  /**
   * @param status - status of a backend server's answer
   * @param headers - its headers
   * @returns the properties of the answer
   */
  abstract readAnswer(status: number, headers: IncomingHttpHeaders): AnswerInfo;

  /**
   * @param error - a refusal or failure
   * @param requestId - the request's ID, if it has one
   * @returns headers of the error answer, except content type and length
   */
  abstract buildRefusalHeaders(error: SchedulerError, requestId: string | undefined): string[];
}
