/**
 * The accepted entries of one entry host, and the merge of what it hears.
 *
 * @module
 */
import { FLEET_KEY } from './document_key.js';
import { hashValue, isSoundEntry, validateEntry } from './entry.js';
import type { AcceptedEntry, RawEntry, RejectedEntry } from './entry.js';
import { compareEntries } from './precedence.js';

/** Everything that one entry host has accepted or refused. */
export interface ConfigurationState {
  /** The highest accepted entry of each key, deletions included. */
  readonly entries: ReadonlyMap<string, AcceptedEntry>;
  /** The highest refused entry of each key, where it is above the accepted one. */
  readonly rejected: ReadonlyMap<string, RejectedEntry>;
  /** Highest index of the platform's snapshots merged so far; 0 before the first. */
  readonly snapshotIndex: number;
  /** Keys that were there at {@link ConfigurationState.snapshotIndex}. */
  readonly snapshotKeys: ReadonlySet<string>;
}

/** The whole prefix, as one read of the platform's service gave it. */
export interface ConfigurationSnapshot {
  readonly index: number;
  readonly entries: readonly RawEntry[];
}

/** A merge's result. */
export interface MergeResult {
  readonly state: ConfigurationState;
  /** Entries that came into force by this merge. */
  readonly changed: readonly AcceptedEntry[];
  /** Entries that were refused by this merge, for the first time. */
  readonly refused: readonly RejectedEntry[];
}

/** The state of an entry host that has heard nothing. */
export const EMPTY_STATE: ConfigurationState = {
  entries: new Map(),
  rejected: new Map(),
  snapshotIndex: 0,
  snapshotKeys: new Set(),
};

/** Copies of a state's maps, for the time of one merge. */
class MergeDraft {
  readonly entries: Map<string, AcceptedEntry>;

  readonly rejected: Map<string, RejectedEntry>;

  readonly changed = new Map<string, AcceptedEntry>();

  readonly refused: RejectedEntry[] = [];

  constructor(state: ConfigurationState) {
    this.entries = new Map(state.entries);
    this.rejected = new Map(state.rejected);
  }

  take(entry: RawEntry): void {
    if (!isSoundEntry(entry) || isFleetDeletion(entry)) return;
    const ranked = { revision: entry.revision, valueHash: hashValue(entry.value) };
    const known = this.entries.get(entry.key);
    if (known && compareEntries(ranked, known) <= 0) return;
    const rejected = this.rejected.get(entry.key);
    if (rejected && compareEntries(ranked, rejected) === 0) return;
    const verdict = validateEntry(entry);
    if ('accepted' in verdict) this.#accept(verdict.accepted);
    else this.#refuse(verdict.rejected);
  }

  /**
   * Without this step a document that was deleted could come back: an entry
   * host that never saw it holds no entry for it, and a peer that was cut off
   * since before the deletion would offer it as news. One would see a client
   * account work again whose contract was withdrawn. Whatever is older than the
   * newest snapshot and not in it is therefore deleted, in whichever order the
   * two were heard. What is newer than the snapshot stays, by its revision.
   */
  expireDeleted(index: number, keys: ReadonlySet<string>): void {
    this.entries.forEach(({ key, value }) => {
      if (value === undefined || keys.has(key)) return;
      this.take({ key, revision: index, value: undefined });
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

  #refuse(entry: RejectedEntry): void {
    const known = this.rejected.get(entry.key);
    if (known && compareEntries(entry, known) <= 0) return;
    this.rejected.set(entry.key, entry);
    this.refused.push(entry);
  }
}

/**
 * The deletion of the fleet document is never accepted. Without a fleet no
 * request could be dispatched, so a service that was emptied, or a slip at a
 * keyboard, would stop every account at once; whoever wants an empty fleet
 * publishes one that says so.
 */
function isFleetDeletion(entry: RawEntry): boolean {
  return entry.value === undefined && entry.key === FLEET_KEY;
}

/**
 * Merges one snapshot of the platform's service. A snapshot that is older than
 * an entry never changes it; a document that it lacks is deleted only where the
 * snapshot is newer than the document.
 *
 * @param state - what is accepted so far
 * @param snapshot - what the service answered
 * @returns the new state and what changed
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
  snapshot.entries.forEach((entry) => draft.take(entry));
  draft.expireDeleted(snapshotIndex, snapshotKeys);
  return buildResult(draft, snapshotIndex, snapshotKeys);
}

/**
 * Merges entries that a peer has accepted. They are validated here again: a
 * peer's word does not make a document good.
 *
 * @param state - what is accepted so far
 * @param entries - the peer's entries
 * @returns the new state and what changed
 */
export function mergeEntries(state: ConfigurationState, entries: readonly RawEntry[]): MergeResult {
  const draft = new MergeDraft(state);
  entries.forEach((entry) => draft.take(entry));
  draft.expireDeleted(state.snapshotIndex, state.snapshotKeys);
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
