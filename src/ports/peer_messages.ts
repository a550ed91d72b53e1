/**
 * Messages between entry hosts. Each is a flat record with a `type`, encoded
 * by the adapter; times inside are durations, since clocks differ.
 *
 * @module
 */
import type { ErrorKind, RunOutcome } from '../domain/errors/mod.js';
import type { EntryHostIdentity } from '../domain/membership/types.js';
import type { Tier } from '../domain/scheduling/tier.js';

/** The types of messages. */
export enum PeerMessageType {
  Hello = 'hello',
  Heartbeat = 'heartbeat',
  HeartbeatReply = 'heartbeat_reply',
  ConfigurationDigest = 'configuration_digest',
  ConfigurationEntries = 'configuration_entries',
  SlotRequest = 'slot_request',
  SlotGrant = 'slot_grant',
  SlotRefusal = 'slot_refusal',
  SlotCancel = 'slot_cancel',
  SlotRelease = 'slot_release',
  AllowanceRequest = 'allowance_request',
  AllowanceLease = 'allowance_lease',
  ForwardCall = 'forward_call',
  ForwardHead = 'forward_head',
  ForwardChunk = 'forward_chunk',
  ForwardEnd = 'forward_end',
  ForwardError = 'forward_error',
  ForwardCredit = 'forward_credit',
  ForwardCancel = 'forward_cancel',
}

/** First message on each link, from both ends. */
export interface HelloMessage {
  readonly type: PeerMessageType.Hello;
  readonly identity: EntryHostIdentity;
}

/** Load of one dispatch group, as its dispatcher tells it. */
export interface GroupLoad {
  readonly groupId: string;
  /** Predicted wait of each tier, highest first, in milliseconds. */
  readonly waitMs: readonly number[];
  /** Lowest tier that is open; below it everything is refused. */
  readonly openTier: Tier;
}

/** Sign of life; carries what every entry host should know soon. */
export interface HeartbeatMessage {
  readonly type: PeerMessageType.Heartbeat;
  readonly sequence: number;
  readonly leaving: boolean;
  /** Highest accepted configuration revision. */
  readonly configurationRevision: number;
  /** Hash over all accepted entries, in lower-case hex. */
  readonly configurationHash: string;
  /** Backend servers that this entry host knows to leave. */
  readonly leavingBackendServers: readonly string[];
  readonly groups: readonly GroupLoad[];
}

/** Answers a heartbeat: the application behind the link is awake. */
export interface HeartbeatReplyMessage {
  readonly type: PeerMessageType.HeartbeatReply;
  readonly sequence: number;
}

/** Asks for what the receiver has beyond these revisions. */
export interface ConfigurationDigestMessage {
  readonly type: PeerMessageType.ConfigurationDigest;
  readonly revisions: Readonly<Record<string, number>>;
}

/** One accepted configuration entry; `value` is absent after a deletion. */
export interface ConfigurationEntry {
  readonly key: string;
  readonly revision: number;
  readonly value: Uint8Array | undefined;
}

/** Accepted entries that the receiver lacked. */
export interface ConfigurationEntriesMessage {
  readonly type: PeerMessageType.ConfigurationEntries;
  readonly entries: readonly ConfigurationEntry[];
}

/** Asks a dispatcher for a slot on one of a group's backend servers. */
export interface SlotRequestMessage {
  readonly type: PeerMessageType.SlotRequest;
  /** Names the wait; unique for the sender's incarnation. */
  readonly ticket: number;
  readonly groupId: string;
  readonly accountId: string;
  readonly weight: number;
  readonly tier: Tier;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Time that it has waited already (at another dispatcher), in milliseconds. */
  readonly waitedMs: number;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Chained block hashes of the prompt, first block first. */
  readonly blockHashes: readonly string[];
  /** Backend servers that refused this request already. */
  readonly excluded: readonly string[];
}

/** A slot is granted for a short time. */
export interface SlotGrantMessage {
  readonly type: PeerMessageType.SlotGrant;
  readonly ticket: number;
  readonly grantId: number;
  readonly backendServerId: string;
  /** The owner must hand over within this time, in milliseconds. */
  readonly validMs: number;
}

/** No slot will be granted. */
export interface SlotRefusalMessage {
  readonly type: PeerMessageType.SlotRefusal;
  readonly ticket: number;
  readonly kind: ErrorKind;
  readonly retryAfterMs: number;
}

/** The owner no longer waits. */
export interface SlotCancelMessage {
  readonly type: PeerMessageType.SlotCancel;
  readonly ticket: number;
}

/** How a granted slot was used. */
export enum SlotOutcome {
  /** The answer came whole. */
  Answered = 'answered',
  /** The owner did not use the grant. */
  Unused = 'unused',
  /** The backend server refused or could not be reached; nothing ran. */
  Refused = 'refused',
  /** The answer broke off or never came. */
  Failed = 'failed',
  /** The owner cancelled it. */
  Cancelled = 'cancelled',
}

/** A slot is free again; tells what was seen. */
export interface SlotReleaseMessage {
  readonly type: PeerMessageType.SlotRelease;
  readonly groupId: string;
  readonly grantId: number;
  readonly outcome: SlotOutcome;
  /** Hand-over to the first byte of the answer, in milliseconds; 0 if none came. */
  readonly firstByteMs: number;
  /** Hand-over to the end, in milliseconds. */
  readonly totalMs: number;
  /** Output as it was seen, in tokens. */
  readonly outputTokens: number;
}

/** Asks an account's allowance home for a share of its limits. */
export interface AllowanceRequestMessage {
  readonly type: PeerMessageType.AllowanceRequest;
  readonly accountId: string;
  /** Demand since the last request, a second. */
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  /** In flight and waiting for room now. */
  readonly inFlight: number;
}

/** A share of an account's limits, for a short time. */
export interface AllowanceLeaseMessage {
  readonly type: PeerMessageType.AllowanceLease;
  readonly accountId: string;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly inFlight: number;
  readonly validMs: number;
}

/** What a forwarded call asks of the owner. */
export enum ForwardOperation {
  Submit = 'submit',
  Read = 'read',
  ReadState = 'read_state',
  Cancel = 'cancel',
  /** Asks the entry host of an idempotency key for the key's request ID. */
  Assign = 'assign',
}

/** Passes a caller's call on to the owner of its request ID. */
export interface ForwardCallMessage {
  readonly type: PeerMessageType.ForwardCall;
  /** Names the call on this link; unique for the sender's incarnation. */
  readonly callId: number;
  readonly operation: ForwardOperation;
  readonly accountId: string;
  /** Empty for {@link ForwardOperation.Assign}. */
  readonly requestId: string;
  readonly traceparent: string | undefined;
  /** For Submit: the caller's call. */
  readonly call: ForwardedCall | undefined;
  /** For Read: offset in bytes. */
  readonly offset: number;
  /** For Assign. */
  readonly idempotencyKey: string | undefined;
}

/** A caller's call as the entry host took it in. */
export interface ForwardedCall {
  readonly serviceId: string;
  readonly workKind: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly deadlineMs: number;
}

/** Head of a forwarded call's answer. */
export interface ForwardHeadMessage {
  readonly type: PeerMessageType.ForwardHead;
  readonly callId: number;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** A part of a forwarded call's answer. */
export interface ForwardChunkMessage {
  readonly type: PeerMessageType.ForwardChunk;
  readonly callId: number;
  /** Offset of its first byte; a gap is a fault of the link. */
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/** The forwarded call's answer is whole. */
export interface ForwardEndMessage {
  readonly type: PeerMessageType.ForwardEnd;
  readonly callId: number;
  /** Length of the whole answer in bytes. */
  readonly length: number;
}

/** The forwarded call was refused or its answer broke off. */
export interface ForwardErrorMessage {
  readonly type: PeerMessageType.ForwardError;
  readonly callId: number;
  readonly kind: ErrorKind;
  readonly run: RunOutcome;
  readonly message: string;
  readonly retryAfterMs: number;
}

/** The receiver has room for more bytes of the answer. */
export interface ForwardCreditMessage {
  readonly type: PeerMessageType.ForwardCredit;
  readonly callId: number;
  readonly bytes: number;
}

/** The caller behind a forwarded call has gone. */
export interface ForwardCancelMessage {
  readonly type: PeerMessageType.ForwardCancel;
  readonly callId: number;
}

/** Every message between entry hosts. */
export type PeerMessage =
  | HelloMessage
  | HeartbeatMessage
  | HeartbeatReplyMessage
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
  | ForwardCancelMessage;
