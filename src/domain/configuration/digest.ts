/**
 * How entry hosts find out what the other one lacks.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import type { ConfigurationState } from './configuration_state.js';
import type { AcceptedEntry } from './entry.js';

/** Revision of each accepted entry, by key. */
export type Digest = Readonly<Record<string, number>>;

/** What two entry hosts lack of each other. */
export interface DigestDifference {
  /** Entries that the other one lacks or has at a lower revision. */
  readonly ahead: readonly AcceptedEntry[];
  /** Whether the other one has something beyond this one. */
  readonly isBehind: boolean;
}

/**
 * Hashes the accepted entries, deletions included.
 *
 * @param state - the accepted entries
 * @returns SHA-256 in lower-case hex; equal exactly where the entries are
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
 * @returns the revision; 0 where nothing is accepted
 */
export function findRevision(state: ConfigurationState): number {
  return [...state.entries.values()].reduce((most, { revision }) => Math.max(most, revision), 0);
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
 * Compares what is accepted here with a peer's digest.
 *
 * @param state - the accepted entries
 * @param digest - the peer's
 * @returns what either side lacks
 */
export function compareDigest(state: ConfigurationState, digest: Digest): DigestDifference {
  const theirs = new Map(Object.entries(digest));
  const ahead = [...state.entries.values()].filter(
    ({ key, revision }) => revision > (theirs.get(key) ?? 0),
  );
  const isBehind = [...theirs].some(
    ([key, revision]) => revision > (state.entries.get(key)?.revision ?? 0),
  );
  return { ahead, isBehind };
}
