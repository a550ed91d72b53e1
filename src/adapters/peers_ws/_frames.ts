/**
 * Encodes and decodes the frames of a peer link with msgpack.
 *
 * @module
 */
import { Packr } from 'msgpackr';
import * as z from 'zod';
import type { EntryHostIdentity } from '../../domain/membership/types.js';
import type { PeerMessage } from '../../ports/mod.js';
import { identitySchema, parseMessage } from './_message_schema.js';

/** Length of the nonce of a challenge, in bytes. */
export const NONCE_BYTES = 32;

const MAC_BYTES = 32;

/** Kind of a frame, its first element on the wire. */
export enum FrameKind {
  Challenge = 0,
  Hello = 1,
  Message = 2,
}

/** First frame that each end sends. */
export interface ChallengeFrame {
  readonly kind: FrameKind.Challenge;
  /** Version of the peer protocol. */
  readonly version: number;
  /** Unpredictable bytes that the MAC of the other end must cover. */
  readonly nonce: Uint8Array;
}

/** Second frame that each end sends: its identity and the proof that it has the cluster key. */
export interface HelloFrame {
  readonly kind: FrameKind.Hello;
  readonly identity: EntryHostIdentity;
  readonly mac: Uint8Array;
}

/** A frame after the handshake, which carries one message. */
export interface MessageFrame {
  readonly kind: FrameKind.Message;
  /** Increases with each message of the sending process, across all its links. */
  readonly sequence: number;
  readonly message: PeerMessage;
}

/** Any frame. */
export type Frame = ChallengeFrame | HelloFrame | MessageFrame;

const packr = new Packr({ useRecords: false, moreTypes: false });

const challengeSchema = z.tuple([
  z.literal(FrameKind.Challenge),
  z.int(),
  z.instanceof(Uint8Array).refine((nonce) => nonce.length === NONCE_BYTES, 'wrong length'),
]);

const helloSchema = z.tuple([
  z.literal(FrameKind.Hello),
  identitySchema,
  z.instanceof(Uint8Array).refine((mac) => mac.length === MAC_BYTES, 'wrong length'),
]);

const messageSchema = z.tuple([
  z.literal(FrameKind.Message),
  z.int().nonnegative(),
  z.unknown().transform(parseMessage),
]);

/**
 * Encodes a frame.
 *
 * @param frame - the frame
 * @returns the encoded bytes
 */
export function encodeFrame(frame: Frame): Buffer {
  switch (frame.kind) {
    case FrameKind.Challenge:
      return packr.pack([frame.kind, frame.version, frame.nonce]);
    case FrameKind.Hello:
      return packr.pack([frame.kind, frame.identity, frame.mac]);
    default:
      return packr.pack([frame.kind, frame.sequence, frame.message]);
  }
}

/**
 * Decodes and validates a frame.
 *
 * @param bytes - the received bytes
 * @returns the frame
 * @throws Error when the frame or the message in it is malformed
 */
export function decodeFrame(bytes: Uint8Array): Frame {
  const decoded: unknown = packr.unpack(bytes);
  const kind: unknown = Array.isArray(decoded) ? decoded[0] : undefined;
  switch (kind) {
    case FrameKind.Challenge: {
      const [, version, nonce] = challengeSchema.parse(decoded);
      return { kind, version, nonce };
    }
    case FrameKind.Hello: {
      const [, identity, mac] = helloSchema.parse(decoded);
      return { kind, identity, mac };
    }
    case FrameKind.Message: {
      const [, sequence, message] = messageSchema.parse(decoded);
      return { kind, sequence, message };
    }
    default:
      throw new Error('Cannot decode frame: its kind is unknown');
  }
}
