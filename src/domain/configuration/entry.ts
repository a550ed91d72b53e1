/**
 * Entries of the configuration: one document, or its deletion, at one revision.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import { formatFault, parseContract, parseFleet } from '../contracts/mod.js';
import type { AccountContract, DocumentResult, Fleet } from '../contracts/mod.js';
import { CONTRACT_KEY_PREFIX, findAccountOfKey, FLEET_KEY } from './document_key.js';

const MAX_KEY_LENGTH = 512;

/** An entry as it came from the platform's service or from a peer. */
export interface RawEntry {
  readonly key: string;
  /** Index of the write that set it, or of the snapshot that lacked it. */
  readonly revision: number;
  /** The published bytes; undefined after a deletion. */
  readonly value: Uint8Array | undefined;
}

/** An entry that passed validation. */
export interface AcceptedEntry extends RawEntry {
  /** SHA-256 of the value in lower-case hex; empty after a deletion. */
  readonly valueHash: string;
  /** What follows from a fleet document. */
  readonly fleet?: Fleet;
  /** What follows from a contract document. */
  readonly contract?: AccountContract;
}

/** An entry that was refused whole. */
export interface RejectedEntry {
  readonly key: string;
  readonly revision: number;
  readonly valueHash: string;
  /** One line for each fault. */
  readonly reasons: readonly string[];
}

/** Either what was accepted, or why nothing was. */
export type EntryVerdict =
  { readonly accepted: AcceptedEntry } | { readonly rejected: RejectedEntry };

/**
 * Hashes a published value.
 *
 * @param value - the bytes; undefined after a deletion
 * @returns SHA-256 in lower-case hex; empty after a deletion
 */
export function hashValue(value: Uint8Array | undefined): string {
  return value === undefined ? '' : createHash('sha256').update(value).digest('hex');
}

/**
 * Checks whether an entry is one that may be stored at all, whatever its document
 * says: a peer of another version could send anything.
 *
 * @param entry - the entry
 * @returns whether key and revision are sound
 */
export function isSoundEntry(entry: RawEntry): boolean {
  const hasKey = typeof entry.key === 'string' && entry.key.length <= MAX_KEY_LENGTH;
  const hasValue = entry.value === undefined || entry.value instanceof Uint8Array;
  return hasKey && hasValue && Number.isSafeInteger(entry.revision) && entry.revision > 0;
}

/**
 * Validates one entry, alone: nobody's document depends on another's.
 *
 * @param entry - the entry
 * @returns the accepted entry, or why it was refused
 */
export function validateEntry(entry: RawEntry): EntryVerdict {
  const valueHash = hashValue(entry.value);
  const { key, revision, value } = entry;
  const accountId = findAccountOfKey(key);
  if (key !== FLEET_KEY && accountId === undefined) {
    const reasons = [`the key is neither ${FLEET_KEY} nor ${CONTRACT_KEY_PREFIX}<account>`];
    return { rejected: { key, revision, valueHash, reasons } };
  }
  if (value === undefined) return { accepted: { key, revision, value, valueHash } };
  if (accountId === undefined) {
    return buildVerdict(entry, valueHash, parseFleet(value), (fleet) => ({ fleet }));
  }
  const result = parseContract(value, { accountId });
  return buildVerdict(entry, valueHash, result, (contract) => ({ contract }));
}

function buildVerdict<T>(
  { key, revision, value }: RawEntry,
  valueHash: string,
  result: DocumentResult<T>,
  derive: (value: T) => Pick<AcceptedEntry, 'fleet' | 'contract'>,
): EntryVerdict {
  if (result.valid) {
    return { accepted: { key, revision, value, valueHash, ...derive(result.value) } };
  }
  return { rejected: { key, revision, valueHash, reasons: result.faults.map(formatFault) } };
}
