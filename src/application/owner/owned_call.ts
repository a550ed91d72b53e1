/**
 * A call as its owner runs it.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import type { AccountContract, Service, WorkKind } from '../../domain/contracts/types.js';

/** A call with everything that was resolved for it. */
export interface OwnedCall {
  readonly account: AccountContract;
  readonly service: Service;
  readonly work: WorkKind;
  readonly method: string;
  /** Path and query for the backend server. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Time that the caller gives it, in milliseconds. */
  readonly deadlineMs: number;
  /** Whether the caller got the ID beforehand, and so can come back for the answer. */
  readonly canComeBack: boolean;
  readonly traceparent: string | undefined;
}

/**
 * Hashes what makes two calls the same.
 *
 * @param call - the call
 * @returns a hash in lower-case hex
 */
export function hashCall(call: OwnedCall): string {
  const hash = createHash('sha256');
  [call.account.accountId, call.service.id, call.work.kind, call.method, call.path].forEach(
    (part) => hash.update(`${part}\n`),
  );
  return hash.update(call.body).digest('hex');
}
