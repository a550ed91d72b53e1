/**
 * The accepted configuration of an entry host. Merges keep the highest revision of
 * each key, so that no stale snapshot or peer can revert an entry:
 * `const { state, changed } = mergeSnapshot(before, snapshot)`.
 *
 * @module
 */
export {
  CONFIGURATION_PREFIX,
  CONTRACT_KEY_PREFIX,
  extractAccountId,
  FLEET_KEY,
} from './document_key.js';
export type { AcceptedEntry, RawEntry, RejectedEntry } from './entry.js';
export { compareEntries } from './precedence.js';
export type { RankedEntry } from './precedence.js';
export { EMPTY_STATE, mergeEntries, mergeSnapshot } from './configuration_state.js';
export type {
  ConfigurationSnapshot,
  ConfigurationState,
  MergeResult,
} from './configuration_state.js';
export { buildDigest, compareDigest, findHighestRevision, hashState } from './digest.js';
export type { Digest, DigestDifference } from './digest.js';
export { buildIndex } from './configuration_index.js';
export type { ConfigurationIndex } from './configuration_index.js';
