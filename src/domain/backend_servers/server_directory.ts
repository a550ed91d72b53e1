/**
 * Which backend servers may be given work.
 *
 * @module
 */
import { RecentKeys } from '../collections/mod.js';
import type { BackendServerEntry } from './types.js';

/**
 * How long a backend server may still be used whose entry lapsed while the registry was
 * away, or was overwritten by something that can't be read, in milliseconds. A live one
 * has written it again by then: it does so about every second, and within two seconds of
 * the registry's return. The margin keeps work from reaching one that is gone.
 */
export const LAPSED_GRACE_MS = 1_500;

/** How long a life that another one has followed is still told of as ended, in milliseconds: ten reports to peers. */
const SUPERSEDED_KEPT_MS = 1_500;

/**
 * Lives and names that are remembered after their end. Late writes about them come within
 * seconds; a fleet of 600 backend servers that all restart fits in.
 */
const MAX_REMEMBERED = 2_000;

/** What an entry changed. */
export enum EntryEffect {
  /** Nothing about who may be used. */
  None = 'none',
  /** Whether this life may be used. */
  Changed = 'changed',
  /** It tells of a life that another one has followed already, and changes nothing. */
  Outdated = 'outdated',
}

/** What came of an entry. */
export interface EntryResult {
  readonly effect: EntryEffect;
  /** The life that has ended, where the entry shows that another one has begun under its name. */
  readonly endedId: string | undefined;
}

interface Known {
  entry: BackendServerEntry;
  /** From when on it may not be used; infinite while its entry stands. */
  usableUntilMs: number;
}

/** Follows entries, removals and what requests have shown. */
export class ServerDirectory {
  /** By life. */
  readonly #known = new Map<string, Known>();

  /** Lives that said that they leave, that another one has followed, or whose address answered as another. */
  readonly #ended = new RecentKeys<true>(MAX_REMEMBERED);

  /** Newest life that was seen under each name, also after its end. */
  readonly #newest = new RecentKeys<Pick<BackendServerEntry, 'id' | 'bornAtMs'>>(MAX_REMEMBERED);

  readonly #byService = new Map<string, BackendServerEntry[]>();

  /**
   * Takes in an entry as it was written. One that tells of an older life than the newest
   * that was seen is left out: it was written late, and would bring back a server whose
   * memory and requests are gone.
   *
   * @param entry - the entry
   * @param nowMs - monotonic time in milliseconds
   * @returns what it changed
   */
  applyEntry(entry: BackendServerEntry, nowMs: number): EntryResult {
    const { id, serverId, bornAtMs } = entry;
    const newest = this.#newest.get(serverId);
    if (newest && bornAtMs < newest.bornAtMs) {
      return { effect: EntryEffect.Outdated, endedId: undefined };
    }
    this.#newest.set(serverId, { id, bornAtMs });
    const hasFollowed = newest !== undefined && newest.id !== id;
    const endedId = hasFollowed && this.#supersede(newest.id, nowMs) ? newest.id : undefined;
    if (entry.isLeaving) this.#ended.set(id, true);
    const before = this.#known.get(id);
    this.#known.set(id, { entry, usableUntilMs: Infinity });
    this.#byService.clear();
    const isSame = before?.entry.isLeaving === entry.isLeaving && before.usableUntilMs === Infinity;
    return { effect: isSame ? EntryEffect.None : EntryEffect.Changed, endedId };
  }

  /**
   * Takes in that an entry was removed.
   *
   * @param serverId - the name that it stood under
   * @param nowMs - monotonic time in milliseconds
   * @param mayBeBack - whether a live server may write it again in a moment: it may have
   *   lapsed only because the registry was away, or was overwritten
   */
  applyRemoval(serverId: string, nowMs: number, mayBeBack: boolean): void {
    const known = this.#known.get(this.#newest.get(serverId)?.id ?? '');
    if (!known) return;
    const untilMs = mayBeBack ? nowMs + LAPSED_GRACE_MS : nowMs;
    known.usableUntilMs = Math.min(known.usableUntilMs, untilMs);
  }

  /**
   * Replaces everything by a full read.
   *
   * @param entries - all entries there are
   * @param nowMs - monotonic time in milliseconds
   * @param mayBeBack - tells of a name without an entry whether it may be back in a moment
   * @returns lives that the entries show to have ended
   */
  applyAll(
    entries: readonly BackendServerEntry[],
    nowMs: number,
    mayBeBack: (serverId: string) => boolean,
  ): string[] {
    const results = entries.map((entry) => this.applyEntry(entry, nowMs));
    // A late entry of an older life doesn't say that the newer one still stands.
    const standing = entries.filter(
      (_entry, index) => results[index]?.effect !== EntryEffect.Outdated,
    );
    const names = new Set(standing.map(({ serverId }) => serverId));
    [...this.#known.values()]
      .map(({ entry: { serverId } }) => serverId)
      .filter((serverId) => !names.has(serverId))
      .forEach((serverId) => this.applyRemoval(serverId, nowMs, mayBeBack(serverId)));
    return results.flatMap(({ endedId }) => endedId ?? []);
  }

  /**
   * Takes it from a request, or from a peer, that this life has ended.
   *
   * @param id - which life
   * @returns whether that is news
   */
  noteEnded(id: string): boolean {
    if (this.#ended.has(id)) return false;
    this.#ended.set(id, true);
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

  /** @returns all lives that are known, also those that leave */
  list(): readonly BackendServerEntry[] {
    return [...this.#known.values()].map(({ entry }) => entry);
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
    expired.forEach((id) => this.#known.delete(id));
    if (expired.length > 0) this.#byService.clear();
    return expired;
  }

  /** @returns whether the former life was known as one that goes on */
  #supersede(id: string, nowMs: number): boolean {
    const known = this.#known.get(id);
    if (known) {
      known.usableUntilMs = Math.min(known.usableUntilMs, nowMs + SUPERSEDED_KEPT_MS);
    }
    this.#ended.set(id, true);
    return known !== undefined;
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
