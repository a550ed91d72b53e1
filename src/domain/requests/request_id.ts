/**
 * Creates and parses request IDs, which carry the owner, the client account and the expiry time
 * of a request.
 *
 * @module
 */
import { createHash, createHmac, timingSafeEqual } from 'node:crypto';
import { ErrorKind, SchedulerError } from '../errors/mod.js';

// An ID is the prefix and the base64url text of: MAC, incarnation, nonce, account hash, expiry
// time and owner ID.
const PREFIX = 'mh1_';
const INCARNATION_BYTES = 8;
const NONCE_BYTES = 12;
const ACCOUNT_BYTES = 8;
const EXPIRY_BYTES = 6;
const MAC_BYTES = 16;
/** Bytes of the payload before the owner ID, whose length varies. */
const FIXED_BYTES = INCARNATION_BYTES + NONCE_BYTES + ACCOUNT_BYTES + EXPIRY_BYTES;
const MAX_TEXT_LENGTH = 256;

/** A request ID and its fields. */
export interface RequestId {
  /** The whole ID as sent in headers and messages. */
  readonly text: string;
  /** Entry host that owns the request. */
  readonly ownerId: string;
  /** The only incarnation of the owner that may dispatch the request, in lower-case hex. */
  readonly incarnation: string;
  /** Distinguishes the requests of one owner, in lower-case hex. */
  readonly nonce: string;
  /** Hash of the ID of the client account to which the ID was issued, in lower-case hex. */
  readonly accountHash: string;
  /** Expiry time by the owner's wall clock, in milliseconds since the Unix epoch. */
  readonly expiresAtMs: number;
}

/** Fields of a new request ID. */
export interface RequestIdFields {
  readonly ownerId: string;
  /** 8 bytes in lower-case hex. */
  readonly incarnation: string;
  /** 12 random bytes that callers can't predict. */
  readonly nonce: Uint8Array;
  readonly accountId: string;
  readonly expiresAtMs: number;
}

/**
 * Hashes the ID of a client account for use in request IDs.
 *
 * @param accountId - ID of the client account
 * @returns 8 bytes in lower-case hex
 */
export function hashAccountId(accountId: string): string {
  return createHash('sha256')
    .update(accountId)
    .digest('hex')
    .slice(0, ACCOUNT_BYTES * 2);
}

/**
 * Creates a request ID. Any entry host may create one for any owner, since the random nonce
 * needs no coordination and only the owner dispatches the request.
 *
 * @param fields - fields of the ID
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
 * Parses a request ID and checks its MAC. It does not check the expiry time, which only the
 * owner's clock decides.
 *
 * @param text - the ID as received
 * @param key - the key that all entry hosts share
 * @returns the ID and its fields
 * @throws SchedulerError of kind RequestIdInvalid
 */
export function parseRequestId(text: string, key: Uint8Array): RequestId {
  if (!text.startsWith(PREFIX) || text.length > MAX_TEXT_LENGTH)
    throw buildInvalidIdError('prefix or length');
  const bytes = Buffer.from(text.slice(PREFIX.length), 'base64url');
  if (bytes.length <= MAC_BYTES + FIXED_BYTES) throw buildInvalidIdError('payload length');
  // base64url decoding is lenient: two texts may decode to the same bytes. A request must
  // have only one ID, so only the canonical text is accepted.
  if (PREFIX + bytes.toString('base64url') !== text) throw buildInvalidIdError('encoding');
  const payload = bytes.subarray(MAC_BYTES);
  if (!timingSafeEqual(computeMac(payload, key), bytes.subarray(0, MAC_BYTES))) {
    throw buildInvalidIdError('MAC');
  }
  return decodePayload(text, payload);
}

function buildInvalidIdError(fault: string): SchedulerError {
  return new SchedulerError(ErrorKind.RequestIdInvalid, {
    message: `Cannot parse request ID: invalid ${fault}`,
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
