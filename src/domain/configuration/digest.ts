/**
 * Digests by which two entry hosts find the entries that either of them is missing.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import type { ConfigurationState } from './configuration_state.js';
import type { AcceptedEntry } from './entry.js';

/** Revision of each accepted entry, by key. */
export type Digest = Readonly<Record<string, number>>;

/** The difference between this entry host's accepted entries and a peer's digest. */
export interface DigestDifference {
  /** Accepted entries that the peer is missing or has at a lower revision. */
  readonly ahead: readonly AcceptedEntry[];
  /** Whether the peer has an entry that is missing here or is here at a lower revision. */
  readonly isBehind: boolean;
}

/**
 * Hashes the accepted entries, deletions included.
 *
 * @param state - the accepted entries
 * @returns SHA-256 in lower-case hex; equal for equal entries, and different otherwise
 */
export function hashState(state: ConfigurationState): string {
  const lines = [...state.entries.values()].map(
    ({ key, revision, valueHash }) => `${key} ${revision} ${valueHash}\n`,
  );
  return createHash('sha256').update(lines.sort().join('')).digest('hex');
}

/**
 * Finds the highest accepted revision.
 *
 * @param state - the accepted entries
 * @returns the revision; 0 if no entry is accepted
 */
export function findHighestRevision(state: ConfigurationState): number {
  return [...state.entries.values()].reduce(
    (highest, { revision }) => Math.max(highest, revision),
    0,
  );
}

/**
 * Builds the digest that is sent to a peer.
 *
 * @param state - the accepted entries
 * @returns the revision of each key
 */
export function buildDigest(state: ConfigurationState): Digest {
  return Object.fromEntries([...state.entries].map(([key, { revision }]) => [key, revision]));
}

/**
 * Compares the accepted entries with a peer's digest.
 *
 * @param state - the accepted entries
 * @param digest - the peer's digest
 * @returns the entries that the peer is missing, and whether any is missing here
 */
export function compareDigest(state: ConfigurationState, digest: Digest): DigestDifference {
  const peerRevisions = new Map(Object.entries(digest));
  const missingEntries = [...state.entries.values()].filter(
    ({ key, revision }) => revision > (peerRevisions.get(key) ?? 0),
  );
  const isBehind = [...peerRevisions].some(
    ([key, revision]) => revision > (state.entries.get(key)?.revision ?? 0),
  );
  return { ahead: missingEntries, isBehind };
}
