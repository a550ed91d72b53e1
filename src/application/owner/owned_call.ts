/**
 * The fully resolved call that an owner runs.
 *
 * @module
 */
import { hashContent } from '../../domain/requests/mod.js';
import type { AccountContract, Service, WorkKind } from '../../domain/contracts/types.js';

/** A call with its resolved account, service and work kind. */
export interface OwnedCall {
  readonly account: AccountContract;
  readonly service: Service;
  readonly work: WorkKind;
  readonly method: string;
  /** Path and query to send to the backend server. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Time within which the caller expects the answer, in milliseconds. */
  readonly deadlineMs: number;
  /** Whether the caller has known the request ID from the start, and so can reconnect. */
  readonly mayReconnect: boolean;
  readonly traceparent: string | undefined;
}

/**
 * Hashes the fields that identify a call's content: account, service, work kind,
 * method, path and body.
 *
 * @param call - the call
 * @returns the hash in lower-case hex
 */
export function hashCall(call: OwnedCall): string {
  const { account, service, work, method, path, body } = call;
  return hashContent([account.accountId, service.id, work.kind, method, path], body);
}
