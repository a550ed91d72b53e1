/**
 * Why attempts and calls end before their answer is complete, for logs and metrics.
 *
 * @module
 */
import { ErrorKind } from '../../domain/errors/mod.js';
import { BackendFailure, PeerFault } from '../../ports/mod.js';

/** Why an attempt failed, or why a call was refused or its answer broken off. */
export enum EndCause {
  /** The backend server's connection was closed or reset, or it broke its answer off. */
  ServerLost = 'server_lost',
  /** What the backend server answered can't be used. */
  ServerFailed = 'server_failed',
  /** The backend server restarted, or another one answers at its address. */
  ServerRestarted = 'server_restarted',
  /** The backend server says that it didn't run the request. */
  ServerDeclined = 'server_declined',
  /** No connection to the backend server could be opened. */
  NotConnected = 'not_connected',
  /** The peer that sent the request, or the link to it, was lost. */
  PeerLinkLost = 'peer_link_lost',
  /** The key, the account or the content may no longer be sent anywhere. */
  NotAllowed = 'not_allowed',
  /** The content waits for a trial that shows whether it ends servers. */
  OnProbation = 'on_probation',
  /** No slot becomes free in time. */
  NoRoom = 'no_room',
  /** No backend server that is left may take the call. */
  NoServer = 'no_server',
  /** The time of the caller or of the route is over. */
  Deadline = 'deadline',
  /** This process stops. */
  HostStops = 'host_stops',
  /** This host could not dispatch the call, because of a fault of its own. */
  HostFault = 'host_fault',
  /** The caller doesn't read its answer. */
  CallerTooSlow = 'caller_too_slow',
}

/** Why an attempt is cancelled by this host; the values are written to the log. */
export enum AbandonReason {
  Restart = 'the backend server restarted',
}

const CAUSES_BY_REASON: Readonly<Record<string, EndCause>> = {
  [AbandonReason.Restart]: EndCause.ServerRestarted,
  ...Object.fromEntries(Object.values(PeerFault).map((fault) => [fault, EndCause.PeerLinkLost])),
};

const CAUSES_BY_FAILURE: Readonly<Record<BackendFailure, EndCause>> = {
  [BackendFailure.NotSent]: EndCause.NotConnected,
  [BackendFailure.Declined]: EndCause.ServerDeclined,
  [BackendFailure.Misdirected]: EndCause.ServerRestarted,
  [BackendFailure.Broken]: EndCause.ServerFailed,
  [BackendFailure.Lost]: EndCause.ServerLost,
};

/**
 * Derives why an attempt failed.
 *
 * @param failure - how it failed
 * @param reason - reason that is written to the log
 * @returns the cause
 */
export function deriveAttemptCause(failure: BackendFailure, reason: string): EndCause {
  return CAUSES_BY_REASON[reason] ?? CAUSES_BY_FAILURE[failure];
}

/** @param kind - kind of the refusal of a call that can't be started. @returns the cause */
export function deriveShedCause(kind: ErrorKind): EndCause {
  if (kind === ErrorKind.EntryHostStopping) return EndCause.HostStops;
  const isForRoom = kind === ErrorKind.QueueFull || kind === ErrorKind.DeadlineUnreachable;
  return isForRoom ? EndCause.NoRoom : EndCause.NoServer;
}
