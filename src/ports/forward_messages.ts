/**
 * Messages by which entry hosts pass callers' calls on to owners.
 *
 * @module
 */
import type { ErrorKind, RunOutcome } from '../domain/errors/mod.js';
import type { PeerMessageType } from './peer_message_type.js';

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
