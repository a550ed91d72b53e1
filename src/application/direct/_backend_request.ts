/**
 * What a backend server is sent of a call.
 *
 * @module
 */
import type { BackendServerEntry } from '../../domain/backend_servers/mod.js';
import type { ClientAccount } from '../../domain/routing/mod.js';
import type { BackendRequest, DirectRequest } from '../../ports/mod.js';
import type { StreamRelay } from './_answer_relay.js';

/** A call as far as its backend server learns of it. */
export interface OutgoingCall {
  readonly request: DirectRequest;
  readonly account: ClientAccount | undefined;
  /** Time that its caller still waits, in milliseconds. */
  readonly timeLeftMs: number;
  /** The stream that goes on, where this is not the first try. */
  readonly stream: StreamRelay | undefined;
}

/**
 * Builds one try's request.
 *
 * @param call - the call
 * @param server - where it is sent
 * @returns the request
 */
export function buildBackendRequest(
  { request, account, timeLeftMs, stream }: OutgoingCall,
  { id, serverId, address }: BackendServerEntry,
): BackendRequest {
  return {
    request,
    address,
    serverId,
    lifeId: id,
    accountId: account?.id,
    deadlineMs: Math.max(1, Math.floor(timeLeftMs)),
    lastEventId: stream?.lastEventId ?? request.lastEventId,
  };
}
