/**
 * Tracks the backend server incarnations whose answers have said that they leave.
 *
 * @module
 */
import { BoundedMap } from '../../domain/collections/mod.js';

/** Number of incarnations that are remembered: more than a fleet replaces within minutes. */
const MAX_REMEMBERED = 2_000;

/**
 * Time for which peers are told of an incarnation that has no entry here, in milliseconds: a
 * peer may have read one, or reads it later from a copy of the store.
 */
const REPORTED_WITHOUT_ENTRY_MS = 60_000;

/** Keeps a fact of an incarnation, which nothing undoes. */
export class LeavingIncarnations {
  /** When each of them became known, on the monotonic clock in milliseconds. */
  readonly #knownAtMs = new BoundedMap<number>(MAX_REMEMBERED);

  /** @param id - an incarnation. @param nowMs - monotonic time. @returns whether this is new */
  add(id: string, nowMs: number): boolean {
    if (this.#knownAtMs.has(id)) return false;
    this.#knownAtMs.set(id, nowMs);
    return true;
  }

  /** @param id - an incarnation. @returns whether it has said that it leaves */
  has(id: string): boolean {
    return this.#knownAtMs.has(id);
  }

  /**
   * Lists the incarnations that peers should know.
   *
   * @param nowMs - monotonic time in milliseconds
   * @param hasEntry - tells whether an incarnation has an entry
   * @returns their IDs
   */
  listReported(nowMs: number, hasEntry: (id: string) => boolean): readonly string[] {
    return this.#knownAtMs
      .listEntries()
      .filter(([id, atMs]) => hasEntry(id) || nowMs - atMs < REPORTED_WITHOUT_ENTRY_MS)
      .map(([id]) => id);
  }
}
