/**
 * Request IDs: who owns a request, for whom, and until when.
 *
 * @module
 */
import { createHash, createHmac, timingSafeEqual } from 'node:crypto';
import { ErrorKind, SchedulerError } from '../errors/mod.js';

const PREFIX = 'mh1_';
const INCARNATION_BYTES = 8;
const NONCE_BYTES = 12;
const ACCOUNT_BYTES = 8;
const EXPIRY_BYTES = 6;
const MAC_BYTES = 16;
const FIXED_BYTES = INCARNATION_BYTES + NONCE_BYTES + ACCOUNT_BYTES + EXPIRY_BYTES;
const MAX_TEXT_LENGTH = 256;

/** What a request ID says. */
export interface RequestId {
  /** The whole ID as it travels. */
  readonly text: string;
  /** Entry host that owns the request. */
  readonly ownerId: string;
  /** The one incarnation of it that may dispatch the request, in lower-case hex. */
  readonly incarnation: string;
  /** Tells requests of one owner apart, in lower-case hex. */
  readonly nonce: string;
  /** Hash of the client account that it was given to, in lower-case hex. */
  readonly accountHash: string;
  /** End of its life, wall clock of the owner, in milliseconds since the Unix epoch. */
  readonly expiresAtMs: number;
}

/** What goes into a new request ID. */
export interface RequestIdFields {
  readonly ownerId: string;
  /** 8 bytes in lower-case hex. */
  readonly incarnation: string;
  /** 12 unpredictable bytes. */
  readonly nonce: Uint8Array;
  readonly accountId: string;
  readonly expiresAtMs: number;
}

/**
 * Hashes a client account's ID as request IDs carry it.
 *
 * @param accountId - the account
 * @returns 8 bytes in lower-case hex
 */
export function hashAccountId(accountId: string): string {
  return createHash('sha256')
    .update(accountId)
    .digest('hex')
    .slice(0, ACCOUNT_BYTES * 2);
}

/**
 * Creates a request ID. Any entry host may create one for any owner, since the
 * nonce needs no agreement; only the owner ever acts on it.
 *
 * @param fields - what it says
 * @param key - the key that all entry hosts share
 * @returns the ID
 */
export function createRequestId(fields: RequestIdFields, key: Uint8Array): RequestId {
  const expiry = Buffer.alloc(EXPIRY_BYTES);
  expiry.writeUIntBE(fields.expiresAtMs, 0, EXPIRY_BYTES);
  const payload = Buffer.concat([
    Buffer.from(fields.incarnation, 'hex'),
    fields.nonce,
    Buffer.from(hashAccountId(fields.accountId), 'hex'),
    expiry,
    Buffer.from(fields.ownerId, 'utf8'),
  ]);
  const text = PREFIX + Buffer.concat([computeMac(payload, key), payload]).toString('base64url');
  return decodePayload(text, payload);
}

/**
 * Parses a request ID and checks its MAC. It does not check the expiry: only
 * the owner's clock decides that.
 *
 * @param text - the ID as it came
 * @param key - the key that all entry hosts share
 * @returns what the ID says
 * @throws SchedulerError of kind RequestIdInvalid
 */
export function parseRequestId(text: string, key: Uint8Array): RequestId {
  if (!text.startsWith(PREFIX) || text.length > MAX_TEXT_LENGTH)
    throw buildInvalidIdError('its form');
  const bytes = Buffer.from(text.slice(PREFIX.length), 'base64url');
  if (bytes.length <= MAC_BYTES + FIXED_BYTES) throw buildInvalidIdError('its length');
  // base64url decoding is lenient: two texts may decode to the same bytes. One
  // request must have one name, so only the canonical text is taken.
  if (PREFIX + bytes.toString('base64url') !== text) throw buildInvalidIdError('its encoding');
  const payload = bytes.subarray(MAC_BYTES);
  if (!timingSafeEqual(computeMac(payload, key), bytes.subarray(0, MAC_BYTES))) {
    throw buildInvalidIdError('its MAC');
  }
  return decodePayload(text, payload);
}

function buildInvalidIdError(fault: string): SchedulerError {
  return new SchedulerError(ErrorKind.RequestIdInvalid, {
    message: `Cannot parse request ID: ${fault} does not match`,
  });
}

function computeMac(payload: Uint8Array, key: Uint8Array): Buffer {
  return createHmac('sha256', key)
    .update('request-id')
    .update(payload)
    .digest()
    .subarray(0, MAC_BYTES);
}

function decodePayload(text: string, payload: Buffer): RequestId {
  let offset = 0;
  const readHex = (length: number): string => {
    offset += length;
    return payload.subarray(offset - length, offset).toString('hex');
  };
  const incarnation = readHex(INCARNATION_BYTES);
  const nonce = readHex(NONCE_BYTES);
  const accountHash = readHex(ACCOUNT_BYTES);
  return {
    text,
    incarnation,
    nonce,
    accountHash,
    expiresAtMs: payload.readUIntBE(offset, EXPIRY_BYTES),
    ownerId: payload.subarray(offset + EXPIRY_BYTES).toString('utf8'),
  };
}
