/**
 * The configuration entries that one entry host has accepted, and their merge
 * with snapshots of the platform and entries of peers.
 *
 * @module
 */
import { FLEET_KEY } from './document_key.js';
import { hashValue, isWellFormedEntry, validateEntry } from './entry.js';
import type { AcceptedEntry, RawEntry, RejectedEntry } from './entry.js';
import { compareEntries } from './precedence.js';

/** All configuration entries that one entry host has accepted or rejected. */
export interface ConfigurationState {
  /** The accepted entry of highest precedence for each key, deletions included. */
  readonly entries: ReadonlyMap<string, AcceptedEntry>;
  /** The rejected entry of highest precedence for each key, if it ranks above the accepted one. */
  readonly rejected: ReadonlyMap<string, RejectedEntry>;
  /** Highest index of the platform snapshots merged so far; 0 before the first one. */
  readonly snapshotIndex: number;
  /** Keys that existed at {@link ConfigurationState.snapshotIndex}. */
  readonly snapshotKeys: ReadonlySet<string>;
}

/** All entries under the configuration prefix, from one read of the platform's service. */
export interface ConfigurationSnapshot {
  /** Index of the configuration service's newest write at the time of the read. */
  readonly index: number;
  readonly entries: readonly RawEntry[];
}

/** The result of a merge. */
export interface MergeResult {
  readonly state: ConfigurationState;
  /** Entries that this merge put into effect. */
  readonly changed: readonly AcceptedEntry[];
  /** Entries that this merge rejected and that had not been rejected before. */
  readonly refused: readonly RejectedEntry[];
}

/** The state of an entry host that has received no configuration yet. */
export const EMPTY_STATE: ConfigurationState = {
  entries: new Map(),
  rejected: new Map(),
  snapshotIndex: 0,
  snapshotKeys: new Set(),
};

/** Mutable copies of a state's maps during one merge. */
class MergeDraft {
  readonly entries: Map<string, AcceptedEntry>;

  readonly rejected: Map<string, RejectedEntry>;

  readonly changed = new Map<string, AcceptedEntry>();

  readonly refused: RejectedEntry[] = [];

  constructor(state: ConfigurationState) {
    this.entries = new Map(state.entries);
    this.rejected = new Map(state.rejected);
  }

  /** Validates an entry and adds it, unless it is superseded or was rejected before. */
  mergeEntry(entry: RawEntry): void {
    if (!isWellFormedEntry(entry) || isFleetDeletion(entry)) return;
    const candidate = { revision: entry.revision, valueHash: hashValue(entry.value) };
    const accepted = this.entries.get(entry.key);
    if (accepted && compareEntries(candidate, accepted) <= 0) return;
    const rejected = this.rejected.get(entry.key);
    if (rejected && compareEntries(candidate, rejected) === 0) return;
    const result = validateEntry(entry);
    if ('accepted' in result) this.#accept(result.accepted);
    else this.#reject(result.rejected);
  }

  /**
   * Deletes every entry that is older than the newest snapshot and missing from
   * it, whichever of the two arrived first. Entries newer than the snapshot stay.
   *
   * Without this step a deleted document could reappear: an entry host that never
   * received the document holds no deletion for it, and would accept it from a
   * peer that was partitioned since before the deletion. A client account with a
   * withdrawn contract would then be served again.
   */
  deleteMissing(index: number, keys: ReadonlySet<string>): void {
    this.entries.forEach(({ key, value }) => {
      if (value === undefined || keys.has(key)) return;
      this.mergeEntry({ key, revision: index, value: undefined });
    });
    this.rejected.forEach(({ key, revision }) => {
      if (!keys.has(key) && revision < index) this.rejected.delete(key);
    });
  }

  #accept(entry: AcceptedEntry): void {
    this.entries.set(entry.key, entry);
    this.changed.set(entry.key, entry);
    const rejected = this.rejected.get(entry.key);
    if (rejected && compareEntries(rejected, entry) <= 0) this.rejected.delete(entry.key);
  }

  #reject(entry: RejectedEntry): void {
    const rejected = this.rejected.get(entry.key);
    if (rejected && compareEntries(entry, rejected) <= 0) return;
    this.rejected.set(entry.key, entry);
    this.refused.push(entry);
  }
}

/**
 * Checks whether an entry deletes the fleet document. Such a deletion is never
 * accepted: without a fleet no request can be dispatched, so an emptied
 * configuration service or an operator's mistake would stop every account at
 * once. To empty the fleet, an operator publishes a fleet document without services.
 */
function isFleetDeletion(entry: RawEntry): boolean {
  return entry.value === undefined && entry.key === FLEET_KEY;
}

/**
 * Merges one snapshot of the platform's configuration service. A snapshot never
 * changes an entry that is newer than it; a document that is missing from the
 * snapshot is deleted only if the snapshot is newer than the document.
 *
 * @param state - the state before the merge
 * @param snapshot - the snapshot that the configuration service returned
 * @returns the new state, with the changed and the newly rejected entries
 */
export function mergeSnapshot(
  state: ConfigurationState,
  snapshot: ConfigurationSnapshot,
): MergeResult {
  const draft = new MergeDraft(state);
  const isNewest = snapshot.index > state.snapshotIndex;
  const snapshotIndex = isNewest ? snapshot.index : state.snapshotIndex;
  const snapshotKeys = isNewest
    ? new Set(snapshot.entries.map(({ key }) => key))
    : state.snapshotKeys;
  snapshot.entries.forEach((entry) => draft.mergeEntry(entry));
  draft.deleteMissing(snapshotIndex, snapshotKeys);
  return buildResult(draft, snapshotIndex, snapshotKeys);
}

/**
 * Merges entries that a peer has accepted. Each entry is validated again, since
 * a peer may be faulty or run another version.
 *
 * @param state - the state before the merge
 * @param entries - the peer's entries
 * @returns the new state, with the changed and the newly rejected entries
 */
export function mergeEntries(state: ConfigurationState, entries: readonly RawEntry[]): MergeResult {
  const draft = new MergeDraft(state);
  entries.forEach((entry) => draft.mergeEntry(entry));
  draft.deleteMissing(state.snapshotIndex, state.snapshotKeys);
  return buildResult(draft, state.snapshotIndex, state.snapshotKeys);
}

function buildResult(
  { entries, rejected, changed, refused }: MergeDraft,
  snapshotIndex: number,
  snapshotKeys: ReadonlySet<string>,
): MergeResult {
  const state = { entries, rejected, snapshotIndex, snapshotKeys };
  return { state, changed: [...changed.values()], refused };
}
