/**
 * Defines the messages by which entry hosts that serve calls with their own request ID tell each
 * other of load, limits and waiting calls.
 *
 * @module
 */
import type { ReportScope, RosterEntry } from '../domain/overlay/mod.js';
import type { RateLimitState } from '../domain/places/mod.js';
import type { PeerMessageType } from './peer_message_type.js';

/** Rate limit of a backend server as an entry host knows it. */
export interface ReportedRateLimit extends RateLimitState {
  /** Age of the answer that last showed this state, in milliseconds. */
  readonly ageMs: number;
}

/** Limit on refusals that the servers of a service name. */
export interface ReportedRefusalLimit {
  /** Refusals a second that each server bears. */
  readonly declinesPerSecond: number;
  /** Age of the answer that last named it, in milliseconds. */
  readonly ageMs: number;
}

/**
 * Periodic report of an entry host that serves calls with their own request ID. A relay
 * also reports the stats of other entry hosts. Each report makes up for lost earlier ones.
 */
export interface HostReportMessage {
  readonly type: PeerMessageType.HostReport;
  /** Sequence number; increases with each report of the sender's process. */
  readonly sequence: number;
  /** Newest report that the sender received from the receiver's process; 0 if none. */
  readonly heardSequence: number;
  /** Which entry hosts' stats the report contains. */
  readonly scope: ReportScope;
  /** Number of reachable entry hosts whose stats the report contains; 0 if it has no stats. */
  readonly hostCount: number;
  /** Requests in flight, by backend server. */
  readonly inFlight: Readonly<Record<string, number>>;
  /** Units spent since the sender's start, by client account. */
  readonly spentUnits: Readonly<Record<string, number>>;
  /** Number of calls that wait for a slot, by service. */
  readonly waitingCalls: Readonly<Record<string, number>>;
  /**
   * Urgency of the first waiting call, by service; 0 is the most urgent. Less by a half if the call's
   * account has less than its fair share of the slots.
   */
  readonly firstWaiting: Readonly<Record<string, number>>;
  /** Number of entry hosts to which calls came lately, by service with a server that names a limit. */
  readonly callingHosts: Readonly<Record<string, number>>;
  /** Number of entry hosts that avoid a backend server after own failures, by backend server. */
  readonly avoidedBy: Readonly<Record<string, number>>;
  /** Backend servers whose end was detected through requests. */
  readonly endedServers: readonly string[];
  /** Backend servers whose answers said that they leave. */
  readonly leavingServers: readonly string[];
  /** Rate limits that backend servers name, and recent ends of such limits, by backend server. */
  readonly rateLimits: Readonly<Record<string, ReportedRateLimit>>;
  /** Services whose servers bear few refusals, by service. */
  readonly refusalLimits: Readonly<Record<string, ReportedRefusalLimit>>;
  /**
   * Evidence of the speeds of backend servers, eight integers each; undefined in most reports, and
   * in a version that states none. See `encodeSpeeds`.
   */
  readonly speeds?: readonly number[] | undefined;
  /** Newest configuration version that the sender or a host it has heard of had in effect. */
  readonly configurationVersion: number;
  /**
   * Digest of the hosts that the sender hears, in reports between relays; undefined in a version that
   * states none.
   */
  readonly view?: number | undefined;
  /** Digest of the hosts that the sender knows, silent ones too; undefined until it knows all. */
  readonly knownHosts?: number | undefined;
  /** Roster entries that changed since the revision that the receiver is known to have. */
  readonly roster: readonly RosterEntry[];
  /** Revision of the sender's roster that the receiver has after applying these entries. */
  readonly rosterRevision: number;
  /** Revision of the receiver's roster that the sender has. */
  readonly heardRosterRevision: number;
  /** Scope of the report that contained that revision; undefined if there was none. */
  readonly heardScope: ReportScope | undefined;
  /** Number of calls that wait for a slot, by service and by urgency as text. */
  readonly waitingByUrgency: Readonly<Record<string, Readonly<Record<string, number>>>>;
  /** Calls started per second, as a decayed mean, by service and by urgency as text. */
  readonly startedByUrgency: Readonly<Record<string, Readonly<Record<string, number>>>>;
  /**
   * Decayed sums of slot milliseconds that the busiest client accounts have used, by service and
   * account.
   */
  readonly accountUsage: Readonly<Record<string, number>>;
}

/** Right to send one request to a limited backend server, which the sender passes on. */
export interface DispatchTurn {
  /**
   * Newest report that the sender received from the receiver's process. The turn was sent later
   * than that report, which bounds the time for which it was on its way.
   */
  readonly heardSequence: number;
  /** Longest time for which the turn may have existed when it was sent, in milliseconds. */
  readonly ageMs: number;
}

/** Right of another entry host to one slot, which its owner leaves unused meanwhile. */
export interface LentSlot extends DispatchTurn {
  /** Number of the loan in the sender's process. */
  readonly loanId: number;
}

/** The end of such a right. */
export interface ReturnedSlot {
  /** Number of the loan in the receiver's process. */
  readonly loanId: number;
  /** Whether the backend server has refused a request under it. */
  readonly wasDeclined: boolean;
}

/**
 * Forwards a slot to a receiver that has a more urgent waiting call: one that a request of the
 * sender has just released, or a turn at a backend server that names a limit.
 */
export interface FreedSlotMessage {
  readonly type: PeerMessageType.FreedSlot;
  /** Incarnation of the backend server. */
  readonly serverId: string;
  /** How often the slot was forwarded before. */
  readonly hops: number;
  /** Set if the backend server is limited; then the slot may be used only with this right. */
  readonly turn?: DispatchTurn | undefined;
  /** Set if the slot is lent; then the receiver has to return it. */
  readonly lent?: LentSlot | undefined;
  /** Set if a slot that the receiver has lent or passed on is returned. */
  readonly returned?: ReturnedSlot | undefined;
}

/** Announces between two reports that a more urgent call is waiting than was last reported. */
export interface WaitingNoticeMessage {
  readonly type: PeerMessageType.WaitingNotice;
  readonly serviceId: string;
  /** Number of calls that wait for a slot of the service. */
  readonly calls: number;
  /** Urgency of the first waiting call, as in a report. */
  readonly firstUrgency: number;
}
