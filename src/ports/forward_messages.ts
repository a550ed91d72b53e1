/**
 * Defines the messages with which entry hosts forward callers' calls to their owners.
 *
 * @module
 */
import type { ErrorKind, RunOutcome } from '../domain/errors/mod.js';
import type { PeerMessageType } from './peer_message_type.js';

/** Operation that a forwarded call requests from the owner. */
export enum ForwardOperation {
  Submit = 'submit',
  Read = 'read',
  ReadState = 'read_state',
  Cancel = 'cancel',
  /** Requests the request ID of an idempotency key from the entry host responsible for the key. */
  Assign = 'assign',
}

/** Forwards a caller's call to the owner of its request ID. */
export interface ForwardCallMessage {
  readonly type: PeerMessageType.ForwardCall;
  /** ID of the call on this link; unique within the sender's incarnation. */
  readonly callId: number;
  readonly operation: ForwardOperation;
  readonly accountId: string;
  /** Empty for {@link ForwardOperation.Assign}. */
  readonly requestId: string;
  readonly traceparent: string | undefined;
  /** The caller's call; set for {@link ForwardOperation.Submit} only. */
  readonly call: ForwardedCall | undefined;
  /** Offset in the answer from which to read, in bytes; for {@link ForwardOperation.Read}. */
  readonly offset: number;
  /** The caller's idempotency key; set for {@link ForwardOperation.Assign} only. */
  readonly idempotencyKey: string | undefined;
}

/** A caller's call as the entry host received it. */
export interface ForwardedCall {
  readonly serviceId: string;
  readonly workKind: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly deadlineMs: number;
}

/** Head of the answer to a forwarded call. */
export interface ForwardHeadMessage {
  readonly type: PeerMessageType.ForwardHead;
  readonly callId: number;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** False if nothing marks the end of the body; hosts of earlier versions don't tell. */
  readonly isFramed?: boolean | undefined;
}

/** A chunk of the answer to a forwarded call. */
export interface ForwardChunkMessage {
  readonly type: PeerMessageType.ForwardChunk;
  readonly callId: number;
  /** Offset of the chunk's first byte in the answer; a gap is a fault of the link. */
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/** Marks the answer to a forwarded call as complete. */
export interface ForwardEndMessage {
  readonly type: PeerMessageType.ForwardEnd;
  readonly callId: number;
  /** Length of the whole answer in bytes. */
  readonly length: number;
}

/** Reports that a forwarded call was refused or that its answer was cut off. */
export interface ForwardErrorMessage {
  readonly type: PeerMessageType.ForwardError;
  readonly callId: number;
  readonly kind: ErrorKind;
  readonly run: RunOutcome;
  readonly message: string;
  readonly retryAfterMs: number;
}

/** Grants the receiver credit to send more bytes of the answer (flow control). */
export interface ForwardCreditMessage {
  readonly type: PeerMessageType.ForwardCredit;
  readonly callId: number;
  readonly bytes: number;
}

/** Reports that the caller of a forwarded call has disconnected. */
export interface ForwardCancelMessage {
  readonly type: PeerMessageType.ForwardCancel;
  readonly callId: number;
}
