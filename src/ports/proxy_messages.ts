/**
 * Defines the messages by which an entry host sends requests to backend servers through a peer.
 *
 * @module
 */
import type {
  BackendFailure,
  BackendHead,
  BackendRequest,
  ServerNotice,
  RawHeaders,
} from './direct_calls.js';
import type { PeerMessageType } from './peer_message_type.js';
import type { Reachability } from './server_probe.js';

/** Faults of a peer that sends a request, or of the link to it; the values are written to logs. */
export enum PeerFault {
  LinkDown = 'the link to the peer is down',
  MessageLost = 'a message of the peer was lost',
  EventsDropped = 'events for the peer were lost',
  NoEvents = 'the peer has no events of the request',
  Stopped = 'the peer has stopped',
}

/** What a backend server receives of a caller's request. */
export interface ProxiedRequest extends Omit<BackendRequest, 'request'> {
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Uint8Array;
}

/** Requests that the receiver sends a request to a backend server. */
export interface ProxyRequestMessage {
  readonly type: PeerMessageType.ProxyRequest;
  /** ID of the exchange; unique within the sender's incarnation. */
  readonly exchangeId: number;
  readonly request: ProxiedRequest;
}

/** What happened in an exchange with a backend server. */
export enum ProxyEventKind {
  Notice = 'rate_limit',
  Head = 'head',
  Body = 'body',
  Complete = 'complete',
  Failure = 'failure',
}

/** One event of an exchange, as its listener is told. */
export type ProxyEvent =
  | {
      readonly kind: ProxyEventKind.Notice;
      readonly notice: ServerNotice;
      readonly isAuthentic: boolean;
    }
  | { readonly kind: ProxyEventKind.Head; readonly head: BackendHead }
  | { readonly kind: ProxyEventKind.Body; readonly bytes: Uint8Array }
  | { readonly kind: ProxyEventKind.Complete }
  | {
      readonly kind: ProxyEventKind.Failure;
      readonly failure: BackendFailure;
      readonly reason: string;
      /** Whether the peer had no room for the request, so that another peer may have. */
      readonly isBusy: boolean;
    };

/** Reports an event of an exchange to the entry host that requested it. */
export interface ProxyReplyMessage {
  readonly type: PeerMessageType.ProxyReply;
  readonly exchangeId: number;
  /** Number of the event in its exchange, from 0; a gap is a fault of the link. */
  readonly index: number;
  readonly event: ProxyEvent;
}

/** Cancels an exchange. */
export interface ProxyCancelMessage {
  readonly type: PeerMessageType.ProxyCancel;
  readonly exchangeId: number;
}

/** An exchange that its asker goes on with. */
export interface ResumedExchange {
  readonly exchangeId: number;
  /** Number of the first event that the asker lacks. */
  readonly nextIndex: number;
  /** Time since the request was handed to the receiver, in milliseconds. */
  readonly ageMs: number;
}

/**
 * Goes on with exchanges after a link was lost. The sender needs none but those listed; the receiver
 * cancels all others of that sender.
 */
export interface ProxyResumeMessage {
  readonly type: PeerMessageType.ProxyResume;
  /** Increases with each message of this type. */
  readonly resumeId: number;
  readonly exchanges: readonly ResumedExchange[];
}

/** Confirms that exchanges go on; the missing events were sent before. */
export interface ProxyResumedMessage {
  readonly type: PeerMessageType.ProxyResumed;
  readonly resumeId: number;
}

/** Requests that the receiver probes a backend server's address. */
export interface ProxyProbeMessage {
  readonly type: PeerMessageType.ProxyProbe;
  /** ID of the probe; unique within the sender's incarnation. */
  readonly probeId: number;
  readonly address: string;
}

/** Result of a probe. */
export interface ProxyProbeReplyMessage {
  readonly type: PeerMessageType.ProxyProbeReply;
  readonly probeId: number;
  readonly reachability: Reachability;
  /**
   * Whether the sender could connect to another backend server at that time; undefined if it knows
   * no other, and in a version that doesn't say.
   */
  readonly reachesOthers?: boolean | undefined;
}
