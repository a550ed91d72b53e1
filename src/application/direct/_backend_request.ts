/**
 * Builds the request that one attempt of a call sends to a backend server.
 *
 * @module
 */
import type { BackendServerEntry } from '../../domain/backend_servers/mod.js';
import type { ClientAccount } from '../../domain/routing/mod.js';
import type { BackendRequest, DirectRequest } from '../../ports/mod.js';
import type { StreamRelay } from './_answer_relay.js';

/** The parts of a call that a backend server receives. */
export interface OutgoingCall {
  readonly request: DirectRequest;
  readonly account: ClientAccount | undefined;
  /** Time left until the call's deadline, in milliseconds. */
  readonly timeLeftMs: number;
  /** The stream that this attempt continues; undefined on a first attempt. */
  readonly stream: StreamRelay | undefined;
  /** 0 is the most urgent. */
  readonly urgency: number;
}

/**
 * Builds the request of one attempt.
 *
 * @param call - the call
 * @param server - registry entry of the backend server that the request is sent to
 * @returns the request
 */
export function buildBackendRequest(
  { request, account, timeLeftMs, stream, urgency }: OutgoingCall,
  { id, serverId, address }: BackendServerEntry,
): BackendRequest {
  return {
    request,
    address,
    serverId,
    incarnationId: id,
    accountId: account?.id,
    deadlineMs: Math.max(1, Math.floor(timeLeftMs)),
    lastEventId: stream?.lastEventId ?? request.lastEventId,
    urgency,
  };
}
