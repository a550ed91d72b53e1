/**
 * Defines the messages between entry hosts. Each is a flat record with a `type`, encoded
 * by the adapter. Times in messages are durations, since the clocks of entry hosts differ.
 *
 * @module
 */
import type { ErrorKind } from '../domain/errors/mod.js';
import type { EntryHostIdentity } from '../domain/membership/types.js';
import type { CrashUpdateMessage } from './crash_messages.js';
import type { FeedChange } from './change_feed.js';
import type { Tier } from '../domain/scheduling/tier.js';
import type {
  ForwardCallMessage,
  ForwardCancelMessage,
  ForwardChunkMessage,
  ForwardCreditMessage,
  ForwardEndMessage,
  ForwardErrorMessage,
  ForwardHeadMessage,
} from './forward_messages.js';
import type { PeerMessageType } from './peer_message_type.js';
import type {
  ProxyCancelMessage,
  ProxyProbeMessage,
  ProxyProbeReplyMessage,
  ProxyReplyMessage,
  ProxyResumeMessage,
  ProxyResumedMessage,
  ProxyRequestMessage,
} from './proxy_messages.js';
import type {
  FreedSlotMessage,
  HostReportMessage,
  WaitingNoticeMessage,
} from './report_messages.js';

import type {
  StreamOriginsMessage,
  StreamQueryMessage,
  StreamReplyMessage,
} from './stream_messages.js';

/** The first message that each end of a link sends. */
export interface HelloMessage {
  readonly type: PeerMessageType.Hello;
  readonly identity: EntryHostIdentity;
}

/** Load of one dispatch group as reported by its dispatcher. */
export interface GroupLoad {
  readonly groupId: string;
  /** Estimated wait of each tier, highest tier first, in milliseconds. */
  readonly waitMs: readonly number[];
  /** Lowest open tier; calls of lower tiers are refused. */
  readonly openTier: Tier;
}

/** Periodic liveness message; carries state that every entry host must learn quickly. */
export interface HeartbeatMessage {
  readonly type: PeerMessageType.Heartbeat;
  readonly sequence: number;
  /** Whether the sender is ready to serve callers; no callers are sent to it before. */
  readonly ready: boolean;
  /** Whether the sender is draining. */
  readonly leaving: boolean;
  /** Highest accepted configuration revision. */
  readonly configurationRevision: number;
  /** Hash over all accepted entries, in lower-case hex. */
  readonly configurationHash: string;
  /** Backend servers that the sender itself knows to be draining. */
  readonly leavingBackendServers: readonly string[];
  readonly groups: readonly GroupLoad[];
}

/** Reply to a heartbeat; shows that the process behind the link is running. */
export interface HeartbeatReplyMessage {
  readonly type: PeerMessageType.HeartbeatReply;
  /** Sequence number of the heartbeat. */
  readonly sequence: number;
}

/** Changes that one entry host has read from the shared store. */
export interface FeedUpdateMessage {
  readonly type: PeerMessageType.FeedUpdate;
  /** Era of all revisions of the message. */
  readonly era: number;
  /** Whether the changes are all items of the store, which replace whatever was known. */
  readonly isComplete: boolean;
  /** Revision after which the changes start. */
  readonly fromRevision: number;
  /** Revision up to which the changes are complete. */
  readonly toRevision: number;
  /** Whether changes are left out that later ones have undone; absent: no. */
  readonly isCondensed?: boolean | undefined;
  readonly changes: readonly FeedChange[];
  /** Time from the request to the store until this message was written, in milliseconds. */
  readonly ageMs: number;
  /** Whether entries may be missing only because the store was unavailable. */
  readonly wasAway: boolean;
  /** Newest report that the sender received from the receiver's process; 0 if none. */
  readonly heardSequence: number;
}

/** Requests the configuration entries that are newer at the receiver than these revisions. */
export interface ConfigurationDigestMessage {
  readonly type: PeerMessageType.ConfigurationDigest;
  /** Revision of each entry that the sender has accepted, by key. */
  readonly revisions: Readonly<Record<string, number>>;
}

/** One accepted configuration entry; `value` is undefined after a deletion. */
export interface ConfigurationEntry {
  readonly key: string;
  readonly revision: number;
  readonly value: Uint8Array | undefined;
}

/** Accepted entries that the receiver lacks; an empty list ends the reply to a digest. */
export interface ConfigurationEntriesMessage {
  readonly type: PeerMessageType.ConfigurationEntries;
  readonly entries: readonly ConfigurationEntry[];
}

/** Requests a slot on one of a group's backend servers from the group's dispatcher. */
export interface SlotRequestMessage {
  readonly type: PeerMessageType.SlotRequest;
  /** ID of the slot request; unique within the sender's incarnation. */
  readonly ticket: number;
  readonly groupId: string;
  readonly accountId: string;
  readonly weight: number;
  readonly tier: Tier;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Time that the request has already waited at another dispatcher, in milliseconds. */
  readonly waitedMs: number;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Chained block hashes of the prompt, first block first. */
  readonly blockHashes: readonly string[];
  /** Backend servers that have already refused this request. */
  readonly excluded: readonly string[];
}

/** Grants a slot for a short time. */
export interface SlotGrantMessage {
  readonly type: PeerMessageType.SlotGrant;
  readonly ticket: number;
  readonly grantId: number;
  readonly backendServerId: string;
  /** Time within which the owner must hand the request over, in milliseconds. */
  readonly validMs: number;
}

/** Refuses a slot request. */
export interface SlotRefusalMessage {
  readonly type: PeerMessageType.SlotRefusal;
  readonly ticket: number;
  readonly kind: ErrorKind;
  readonly retryAfterMs: number;
}

/** Cancels a slot request that the owner no longer waits for. */
export interface SlotCancelMessage {
  readonly type: PeerMessageType.SlotCancel;
  readonly ticket: number;
}

/** How a granted slot was used. */
export enum SlotOutcome {
  /** The answer was received completely. */
  Answered = 'answered',
  /** The owner did not use the grant. */
  Unused = 'unused',
  /** The backend server refused the request or could not be reached; nothing ran. */
  Refused = 'refused',
  /** The answer was cut off or never arrived. */
  Failed = 'failed',
  /** The owner cancelled the request. */
  Cancelled = 'cancelled',
}

/** Releases a granted slot and reports the outcome of the request. */
export interface SlotReleaseMessage {
  readonly type: PeerMessageType.SlotRelease;
  readonly groupId: string;
  readonly grantId: number;
  readonly outcome: SlotOutcome;
  /** Time from the hand-over to the first byte of the answer, in milliseconds; 0 if none arrived. */
  readonly firstByteMs: number;
  /** Time from the hand-over to the end of the request, in milliseconds. */
  readonly totalMs: number;
  /** Observed output in tokens. */
  readonly outputTokens: number;
}

/** Requests a lease on a share of a client account's limits from its allowance lender. */
export interface AllowanceRequestMessage {
  readonly type: PeerMessageType.AllowanceRequest;
  readonly accountId: string;
  /** Demand since the last request, in requests per second. */
  readonly requestsPerSecond: number;
  /** Demand since the last request, in tokens per second. */
  readonly tokensPerSecond: number;
  /** Number of requests that are in flight or wait for capacity at the sender. */
  readonly inFlight: number;
  /** Increases with each request of the sender; 0 if this message only confirms a lease. */
  readonly requestNumber: number;
  /** Number of the lease from the receiver that the sender holds; 0 if none. */
  readonly heldLease: number;
  /** Number of requests that are in flight at the sender. */
  readonly running: number;
}

/** Grants a lease on a share of a client account's limits. */
export interface AllowanceLeaseMessage {
  readonly type: PeerMessageType.AllowanceLease;
  readonly accountId: string;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  /** Leased share of the limit on requests in flight. */
  readonly inFlight: number;
  /** Lease duration, in milliseconds. */
  readonly validMs: number;
  /** Increases with each lease of the sender. */
  readonly leaseNumber: number;
  /** Newest request for this client account that the sender received; 0 if none. */
  readonly requestNumber: number;
}

/** Any message between entry hosts. */
export type PeerMessage =
  | HelloMessage
  | HeartbeatMessage
  | HeartbeatReplyMessage
  | HostReportMessage
  | FreedSlotMessage
  | WaitingNoticeMessage
  | FeedUpdateMessage
  | CrashUpdateMessage
  | ConfigurationDigestMessage
  | ConfigurationEntriesMessage
  | SlotRequestMessage
  | SlotGrantMessage
  | SlotRefusalMessage
  | SlotCancelMessage
  | SlotReleaseMessage
  | AllowanceRequestMessage
  | AllowanceLeaseMessage
  | ForwardCallMessage
  | ForwardHeadMessage
  | ForwardChunkMessage
  | ForwardEndMessage
  | ForwardErrorMessage
  | ForwardCreditMessage
  | ForwardCancelMessage
  | ProxyRequestMessage
  | ProxyReplyMessage
  | ProxyCancelMessage
  | ProxyResumeMessage
  | ProxyResumedMessage
  | ProxyProbeMessage
  | ProxyProbeReplyMessage
  | StreamOriginsMessage
  | StreamQueryMessage
  | StreamReplyMessage;
