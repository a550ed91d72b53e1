/**
 * Which backend servers may be given work.
 *
 * @module
 */
import type { BackendServerEntry } from './types.js';

/**
 * How long a backend server whose entry lapsed while the registry was away may
 * still be used, in milliseconds. Live ones are back within two seconds of the
 * registry's return; the margin keeps work from reaching one that is gone.
 */
export const LAPSED_GRACE_MS = 1_500;

interface Known {
  entry: BackendServerEntry;
  /** From when on it may not be used; infinite while its entry stands. */
  usableUntilMs: number;
}

/** Follows entries, removals and what requests have shown. */
export class ServerDirectory {
  readonly #known = new Map<string, Known>();

  /** Lives that said that they leave, or whose address answered as another. */
  readonly #ended = new Set<string>();

  readonly #byService = new Map<string, BackendServerEntry[]>();

  /**
   * Takes in an entry as it was written.
   *
   * @param entry - the entry
   * @returns whether anything about who may be used has changed
   */
  applyEntry(entry: BackendServerEntry): boolean {
    if (entry.isLeaving) this.#ended.add(entry.id);
    const before = this.#known.get(entry.id);
    this.#known.set(entry.id, { entry, usableUntilMs: Infinity });
    this.#byService.clear();
    return before?.entry.isLeaving !== entry.isLeaving || before.usableUntilMs !== Infinity;
  }

  /**
   * Takes in that an entry was removed.
   *
   * @param id - which life
   * @param nowMs - monotonic time in milliseconds
   * @param wasRegistryAway - whether it may have lapsed only because the registry
   *   could not be reached
   */
  applyRemoval(id: string, nowMs: number, wasRegistryAway: boolean): void {
    const known = this.#known.get(id);
    if (!known) return;
    const untilMs = wasRegistryAway ? nowMs + LAPSED_GRACE_MS : nowMs;
    known.usableUntilMs = Math.min(known.usableUntilMs, untilMs);
  }

  /**
   * Replaces everything by a full read.
   *
   * @param entries - all entries there are
   * @param nowMs - monotonic time in milliseconds
   * @param wasRegistryAway - whether entries may lack only because the registry was away
   */
  applyAll(entries: readonly BackendServerEntry[], nowMs: number, wasRegistryAway: boolean): void {
    const ids = new Set(entries.map(({ id }) => id));
    entries.forEach((entry) => this.applyEntry(entry));
    [...this.#known.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => this.applyRemoval(id, nowMs, wasRegistryAway));
  }

  /**
   * Takes it from a request that this life has ended.
   *
   * @param id - which life
   * @returns whether that is news
   */
  noteEnded(id: string): boolean {
    if (this.#ended.has(id)) return false;
    this.#ended.add(id);
    return true;
  }

  /** @param id - which life. @param nowMs - monotonic time. @returns whether it may be given work */
  isUsable(id: string, nowMs: number): boolean {
    const known = this.#known.get(id);
    return known !== undefined && nowMs < known.usableUntilMs && !this.#ended.has(id);
  }

  /** @param id - which life. @returns its entry, also while it leaves */
  find(id: string): BackendServerEntry | undefined {
    return this.#known.get(id)?.entry;
  }

  /** @param serviceId - which service. @param nowMs - monotonic time. @returns who may be given work */
  listUsable(serviceId: string, nowMs: number): readonly BackendServerEntry[] {
    return this.#listService(serviceId).filter(({ id }) => this.isUsable(id, nowMs));
  }

  /**
   * Forgets lives that ended.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns their IDs
   */
  expire(nowMs: number): string[] {
    const expired = [...this.#known]
      .filter(([, { usableUntilMs }]) => usableUntilMs <= nowMs)
      .map(([id]) => id);
    expired.forEach((id) => {
      this.#known.delete(id);
      this.#ended.delete(id);
    });
    if (expired.length > 0) this.#byService.clear();
    return expired;
  }

  #listService(serviceId: string): readonly BackendServerEntry[] {
    const listed = this.#byService.get(serviceId);
    if (listed) return listed;
    const entries = [...this.#known.values()]
      .map(({ entry }) => entry)
      .filter((entry) => entry.serviceId === serviceId);
    this.#byService.set(serviceId, entries);
    return entries;
  }
}
