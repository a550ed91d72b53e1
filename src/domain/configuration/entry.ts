/**
 * Configuration entries and their validation. An entry is one document, or its
 * deletion, at one revision.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import { formatFault, parseContract, parseFleet } from '../contracts/mod.js';
import type { AccountContract, DocumentResult, Fleet } from '../contracts/mod.js';
import { CONTRACT_KEY_PREFIX, extractAccountId, FLEET_KEY } from './document_key.js';

/** Maximum length of an entry's key, in UTF-16 code units. */
const MAX_KEY_LENGTH = 512;

/** An entry as received from the platform's configuration service or from a peer. */
export interface RawEntry {
  readonly key: string;
  /** Index of the write that set the value, or of the snapshot from which the key was missing. */
  readonly revision: number;
  /** The published bytes; undefined after a deletion. */
  readonly value: Uint8Array | undefined;
}

/** An entry that passed validation. */
export interface AcceptedEntry extends RawEntry {
  /** SHA-256 of the value in lower-case hex; empty after a deletion. */
  readonly valueHash: string;
  /** The parsed document, if the entry holds a fleet document. */
  readonly fleet?: Fleet;
  /** The parsed document, if the entry holds a contract. */
  readonly contract?: AccountContract;
}

/** An entry that failed validation. No part of its document is used. */
export interface RejectedEntry {
  readonly key: string;
  readonly revision: number;
  /** SHA-256 of the value in lower-case hex; empty for a deletion. */
  readonly valueHash: string;
  /** One line of text for each fault. */
  readonly reasons: readonly string[];
}

/** The outcome of a validation: the accepted entry, or the rejected one with its faults. */
export type ValidationResult =
  { readonly accepted: AcceptedEntry } | { readonly rejected: RejectedEntry };

/**
 * Hashes the value of an entry.
 *
 * @param value - the published bytes; undefined for a deletion
 * @returns SHA-256 in lower-case hex; empty for a deletion
 */
export function hashValue(value: Uint8Array | undefined): string {
  return value === undefined ? '' : createHash('sha256').update(value).digest('hex');
}

/**
 * Checks the types and bounds of an entry's key, value and revision, without
 * reading the document. A peer that runs another version could send anything.
 *
 * @param entry - the entry
 * @returns whether the entry may be stored
 */
export function isWellFormedEntry(entry: RawEntry): boolean {
  const hasKey = typeof entry.key === 'string' && entry.key.length <= MAX_KEY_LENGTH;
  const hasValue = entry.value === undefined || entry.value instanceof Uint8Array;
  return hasKey && hasValue && Number.isSafeInteger(entry.revision) && entry.revision > 0;
}

/**
 * Validates one entry independently of all others, so that no document can make
 * another one invalid.
 *
 * @param entry - the entry
 * @returns the accepted entry, or the rejected one with the reasons
 */
export function validateEntry(entry: RawEntry): ValidationResult {
  const valueHash = hashValue(entry.value);
  const { key, revision, value } = entry;
  const accountId = extractAccountId(key);
  if (key !== FLEET_KEY && accountId === undefined) {
    const reasons = [`the key is neither ${FLEET_KEY} nor ${CONTRACT_KEY_PREFIX}<account>`];
    return { rejected: { key, revision, valueHash, reasons } };
  }
  if (value === undefined) return { accepted: { key, revision, value, valueHash } };
  if (accountId === undefined) {
    return buildValidationResult(entry, valueHash, parseFleet(value), (fleet) => ({ fleet }));
  }
  const result = parseContract(value, { accountId });
  return buildValidationResult(entry, valueHash, result, (contract) => ({ contract }));
}

function buildValidationResult<T>(
  { key, revision, value }: RawEntry,
  valueHash: string,
  result: DocumentResult<T>,
  derive: (value: T) => Pick<AcceptedEntry, 'fleet' | 'contract'>,
): ValidationResult {
  if (result.valid) {
    return { accepted: { key, revision, value, valueHash, ...derive(result.value) } };
  }
  return { rejected: { key, revision, valueHash, reasons: result.faults.map(formatFault) } };
}
