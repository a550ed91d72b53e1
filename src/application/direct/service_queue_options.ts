/**
 * Calls that wait for a slot, and dependencies of their queue.
 *
 * @module
 */
import type { Candidate, RequestWork } from '../../domain/backend_servers/mod.js';
import type { FairOrder, WaitingCall } from '../../domain/direct/mod.js';
import type { AllowedRegions } from '../../domain/places/mod.js';
import type { StreamOrigin } from '../../domain/streams/mod.js';
import type { Clock, RandomSource } from '../../ports/mod.js';

/** A call as the queue sees it. */
export interface QueuedCall extends WaitingCall {
  /** Client account; that of all anonymous calls if the route needs no key. */
  readonly accountId: string;
  /** Weight of the account's share of the slots, relative to other accounts. */
  readonly weight: number;
  readonly work: RequestWork;
  /** Expected number of output tokens. */
  readonly expectedTokens: number;
  /** Factor on predicted times within which most answers of its route come. */
  readonly answerTimeFactor: number;
  /** When the call times out, on the monotonic clock in milliseconds. */
  readonly deadlineAtMs: number;
  /** Incarnation IDs of backend servers that the call was already sent to. */
  readonly excluded: ReadonlySet<string>;
  /** Regions in which the call may be handled; undefined: any region. */
  readonly regions: AllowedRegions;
  /** Where the stream began that the call continues; undefined if its caller has no event. */
  readonly origin?: StreamOrigin | undefined;
  /** Whether waiting can't help, as no backend server may take the call. */
  readonly isHopeless?: boolean;
  /**
   * Computes until when the call may be started; called before it waits, and read from then on.
   *
   * @param candidates - servers that may be given work
   */
  planStart(candidates: readonly Candidate[]): void;
  /** @param candidate - backend server at which the call has been given a slot */
  grant(candidate: Candidate): void;
  /**
   * Refuses the call because it can't be started in time.
   *
   * @param estimatedWaitMs - estimated wait for a slot, in milliseconds
   * @returns whether its caller can come back in time
   */
  shed(estimatedWaitMs: number): boolean;
  /** @param error - what was thrown while the call was dispatched or refused */
  handleFault(error: unknown): void;
}

/** Dependencies of a queue of waiting calls. */
export interface ServiceQueueOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Order of the client accounts whose calls wait; without it, calls are ordered by arrival. */
  readonly fairOrder?: FairOrder | undefined;
  /** @returns backend servers that may be given work */
  readonly listCandidates: () => readonly Candidate[];
  /**
   * @returns time until any backend server takes a request, in milliseconds; 0 if one may do so
   *   now, Infinity if all of them leave
   */
  readonly estimateBlockedMs: () => number;
  /** Called when a call starts to wait. */
  readonly onWaiting: () => void;
  /**
   * Forwards a freed slot to the entry host with the most urgent call. If this is the local
   * entry host, it calls `ServiceQueue.dispatchWaiting()`.
   */
  readonly forwardFreedSlot: (serverId: string) => void;
  /** @returns number of entry hosts that serve callers, including this one */
  readonly countEntryHosts: () => number;
  /** @returns number of calls that wait for the same slots at peers */
  readonly countWaitingAtPeers: () => number;
  /** @param rank - rank of a call. @returns calls at peers that may go before it */
  readonly countPeerCallsAhead: (rank: number) => number;
  /** @returns urgency of the first call that waits at a peer; Infinity when none waits */
  readonly getPeerUrgency: () => number;
}
