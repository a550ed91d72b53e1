/**
 * Calls that wait for a slot, and dependencies of their queue.
 *
 * @module
 */
import type { Candidate, RequestWork } from '../../domain/backend_servers/mod.js';
import type { FairOrder, UrgencyRates, WaitingCall } from '../../domain/direct/mod.js';
import type { AllowedRegions } from '../../domain/places/mod.js';
import type { StreamOrigin } from '../../domain/streams/mod.js';
import type { Clock, RandomSource } from '../../ports/mod.js';

/** Values with which the outlook refused a call, for the log. */
export interface OutlookFigures {
  /** Calls that go first at all hosts, less the slots that are free. */
  readonly callsAhead: number;
  /** Slots that become free per second. */
  readonly slotsPerSecond: number;
  /** Slots per second that more urgent calls take. */
  readonly takenPerSecond: number;
  /** Time left until the call times out, in milliseconds. */
  readonly timeLeftMs: number;
}

/** Stats of peers, for one service. */
export interface PeerDemand {
  /** @returns whether any peer reports */
  readonly hasReports: () => boolean;
  /** @returns calls that wait at peers, by urgency */
  readonly countWaiting: () => UrgencyRates;
  /** @returns calls per second that peers start, by urgency */
  readonly listStarted: () => UrgencyRates;
}

/** A call as the queue sees it. */
export interface QueuedCall extends WaitingCall {
  /** Client account; that of all anonymous calls if the route needs no key. */
  readonly accountId: string;
  /** Weight of the account's share of the slots, relative to other accounts. */
  readonly weight: number;
  readonly work: RequestWork;
  /** Expected number of output tokens. */
  readonly expectedTokens: number;
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
  /** Whether the caller is assumed to come back after an earlier rejection. */
  readonly isReturning: boolean;
  /** Whether its wait has a limit of its own, as when it fails over to another server. */
  readonly isWaitFixed: boolean;
  /** Until when its first event meets its target, in milliseconds of the monotonic clock. */
  readonly targetAtMs: number;
  /** Latest start after which that is likely, in milliseconds of the monotonic clock. */
  readonly onTimeStartAtMs: number;
  /** Records that the target has passed. */
  markLate(): void;
  /** @param latestStartAtMs - until when the call may wait, on the monotonic clock */
  adjustWait(latestStartAtMs: number): void;
  /** @param candidate - backend server at which the call has been given a slot */
  grant(candidate: Candidate): void;
  /**
   * Refuses the call because it can't be started in time.
   *
   * @param estimatedWaitMs - estimated wait for a slot, in milliseconds
   * @param outlook - values that the outlook used, if it was the outlook that refused the call
   * @returns time after which the caller is told to return, in milliseconds
   */
  shed(estimatedWaitMs: number, outlook?: OutlookFigures): number;
  /** @param error - what was thrown while the call was dispatched or refused */
  handleFault(error: unknown): void;
}

/** Dependencies of a queue of waiting calls. */
export interface ServiceQueueOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Order of the client accounts whose calls wait; without it, calls are ordered by arrival. */
  readonly fairOrder?: FairOrder;
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
  /** @returns number of calls that wait for the same slots at peers */
  readonly countWaitingAtPeers: () => number;
  /** @param urgency - urgency of a call. @returns calls at peers that may go before it */
  readonly countPeerCallsAhead: (urgency: number) => number;
  /** @returns urgency of the first call that waits at a peer; Infinity when none waits */
  readonly getPeerUrgency: () => number;
  readonly peers: PeerDemand;
  /**
   * Called several times a second while calls wait.
   *
   * @param slotsPerSecond - slots that become free per second
   */
  readonly onReview: (slotsPerSecond: number) => void;
}
