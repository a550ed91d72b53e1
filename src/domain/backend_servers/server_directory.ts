/**
 * Directory of the backend servers that may receive requests.
 *
 * @module
 */
import { BoundedMap } from '../collections/mod.js';
import { RESTORE_HOLD_MS } from '../freshness/mod.js';
import type { BackendServerEntry } from './backend_server_entry.js';

/**
 * How long a backend server stays usable after its registry entry expired during a registry
 * outage or was overwritten by something unreadable, in milliseconds. A live server rewrites its
 * entry within this time: it does so about once a second, and within two seconds after the
 * registry's return. The margin keeps requests away from a server that is gone.
 */
export const EXPIRED_ENTRY_GRACE_MS = 1_500;

/**
 * How long a superseded incarnation is still reported as ended, in milliseconds: ten reports to
 * peers.
 */
const SUPERSEDED_RETENTION_MS = 1_500;

/**
 * Number of ended incarnations and of server names that are remembered. Late writes about them
 * arrive within seconds, and the limit leaves room for a fleet of 600 backend servers that all
 * restart.
 */
const MAX_REMEMBERED_INCARNATIONS = 2_000;

/** Effect of a registry entry on the directory. */
export enum EntryEffect {
  /** The set of usable servers is unchanged. */
  None = 'none',
  /** This incarnation became usable or unusable. */
  Changed = 'changed',
  /** The entry belongs to an incarnation that was already superseded, and is ignored. */
  Outdated = 'outdated',
}

/** How a registry entry became known. */
enum EntrySource {
  /** It was written since the last read. */
  Change = 'change',
  /** It stands in the registry. */
  Snapshot = 'snapshot',
  /** It stands in a registry that has come back from an older copy. */
  Copy = 'copy',
}

/** Result of applying a registry entry. */
export interface EntryResult {
  readonly effect: EntryEffect;
  /**
   * ID of the incarnation that ended, if the entry shows that a new one started under its name.
   */
  readonly endedId: string | undefined;
}

interface KnownIncarnation {
  entry: BackendServerEntry;
  /** Time from which the incarnation is usable; later than the present only after a restore. */
  usableFromMs: number;
  /** Time from which the incarnation is unusable; Infinity while its entry exists. */
  usableUntilMs: number;
}

/**
 * Tracks registry entries, their removals, and incarnations that requests found to have ended.
 */
export class ServerDirectory {
  /** By incarnation ID. */
  readonly #incarnations = new Map<string, KnownIncarnation>();

  /**
   * IDs of incarnations that are shutting down, were superseded, or whose address answered as a
   * different incarnation.
   */
  readonly #endedIds = new BoundedMap<true>(MAX_REMEMBERED_INCARNATIONS);

  /** Newest incarnation seen under each server name, kept after its end. */
  readonly #newestByServer = new BoundedMap<Pick<BackendServerEntry, 'id' | 'bornAtMs'>>(
    MAX_REMEMBERED_INCARNATIONS,
  );

  /** IDs of incarnations whose entry was removed and not written again since. */
  readonly #removedIds = new BoundedMap<true>(MAX_REMEMBERED_INCARNATIONS);

  /** All entries by service; undefined until they are listed after a change. */
  #entriesByService: ReadonlyMap<string, readonly BackendServerEntry[]> | undefined;

  /**
   * Applies a registry entry. Ignores an entry of an incarnation older than the newest one seen:
   * it was written late, and would bring back a server whose memory and requests are gone.
   *
   * @param entry - the entry
   * @param nowMs - monotonic time in milliseconds
   * @param source - how the entry became known
   * @returns the effect of the entry
   */
  applyEntry(entry: BackendServerEntry, nowMs: number, source = EntrySource.Change): EntryResult {
    const { id, serverId, bornAtMs } = entry;
    const newest = this.#newestByServer.get(serverId);
    if (newest && bornAtMs < newest.bornAtMs) {
      return { effect: EntryEffect.Outdated, endedId: undefined };
    }
    this.#newestByServer.set(serverId, { id, bornAtMs });
    const isNewIncarnation = newest !== undefined && newest.id !== id;
    const endedId = isNewIncarnation && this.#supersede(newest.id, nowMs) ? newest.id : undefined;
    if (entry.isLeaving) this.#endedIds.set(id, true);
    const previous = this.#incarnations.get(id);
    const usableFromMs = this.#computeUsableFromMs(id, nowMs, source);
    const named = keepVersion(entry, previous?.entry);
    this.#incarnations.set(id, { entry: named, usableFromMs, usableUntilMs: Infinity });
    this.#entriesByService = undefined;
    const isUnchanged =
      previous?.entry.isLeaving === entry.isLeaving && previous.usableUntilMs === Infinity;
    return { effect: isUnchanged ? EntryEffect.None : EntryEffect.Changed, endedId };
  }

  /**
   * Applies the removal of a registry entry.
   *
   * @param serverId - server name of the removed entry
   * @param nowMs - monotonic time in milliseconds
   * @param mayReturn - whether a live server may soon rewrite the entry, because it expired
   *   during a registry outage or was overwritten
   */
  applyRemoval(serverId: string, nowMs: number, mayReturn: boolean): void {
    const incarnation = this.#incarnations.get(this.#newestByServer.get(serverId)?.id ?? '');
    if (!incarnation) return;
    const usableUntilMs = mayReturn ? nowMs + EXPIRED_ENTRY_GRACE_MS : nowMs;
    if (!mayReturn) this.#removedIds.set(incarnation.entry.id, true);
    incarnation.usableUntilMs = Math.min(incarnation.usableUntilMs, usableUntilMs);
  }

  /**
   * Replaces all entries with a snapshot of the registry.
   *
   * @param entries - all entries in the registry
   * @param nowMs - monotonic time in milliseconds
   * @param mayReturn - tells whether the entry of a server name missing from the snapshot may
   *   soon be rewritten
   * @param isRestored - whether the registry has come back from a copy since the last read
   * @returns IDs of incarnations that the entries show to have ended
   */
  replaceAll(
    entries: readonly BackendServerEntry[],
    nowMs: number,
    mayReturn: (serverId: string) => boolean,
    isRestored = false,
  ): string[] {
    const source = isRestored ? EntrySource.Copy : EntrySource.Snapshot;
    const results = entries.map((entry) => this.applyEntry(entry, nowMs, source));
    // A late entry of an older incarnation doesn't prove that the newer one still exists.
    const current = entries.filter(
      (_entry, index) => results[index]?.effect !== EntryEffect.Outdated,
    );
    const serverIds = new Set(current.map(({ serverId }) => serverId));
    [...this.#incarnations.values()]
      .map(({ entry: { serverId } }) => serverId)
      .filter((serverId) => !serverIds.has(serverId))
      .forEach((serverId) => this.applyRemoval(serverId, nowMs, mayReturn(serverId)));
    return results.flatMap(({ endedId }) => endedId ?? []);
  }

  /**
   * Records that an incarnation has ended, as found by a request or reported by a peer.
   *
   * @param id - ID of the incarnation
   * @returns whether this was unknown
   */
  recordEnded(id: string): boolean {
    if (this.#endedIds.has(id)) return false;
    this.#endedIds.set(id, true);
    return true;
  }

  /**
   * @param id - ID of the incarnation
   * @param nowMs - monotonic time in milliseconds
   * @returns whether it may receive requests
   */
  isUsable(id: string, nowMs: number): boolean {
    const known = this.#incarnations.get(id);
    if (known === undefined || this.#endedIds.has(id)) return false;
    return nowMs >= known.usableFromMs && nowMs < known.usableUntilMs;
  }

  /**
   * @param id - ID of the incarnation
   * @param nowMs - monotonic time in milliseconds
   * @returns whether a copy lists it again after its removal, so that it isn't used for a while
   */
  isHeldBack(id: string, nowMs: number): boolean {
    return nowMs < (this.#incarnations.get(id)?.usableFromMs ?? nowMs);
  }

  /** @param id - incarnation ID. @returns its entry, even while the server shuts down */
  find(id: string): BackendServerEntry | undefined {
    return this.#incarnations.get(id)?.entry;
  }

  /** @returns all known incarnations, including those that are shutting down */
  list(): readonly BackendServerEntry[] {
    return [...this.#incarnations.values()].map(({ entry }) => entry);
  }

  /**
   * @param serviceId - ID of a service
   * @param nowMs - monotonic time in milliseconds
   * @returns its servers that may receive requests
   */
  listUsable(serviceId: string, nowMs: number): readonly BackendServerEntry[] {
    return this.#listByService(serviceId).filter(({ id }) => this.isUsable(id, nowMs));
  }

  /**
   * Removes incarnations whose entry is gone or that were superseded, once their grace time is
   * over.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns their entries
   */
  removeExpired(nowMs: number): BackendServerEntry[] {
    const expired = [...this.#incarnations]
      .filter(([, { usableUntilMs }]) => usableUntilMs <= nowMs)
      .map(([, { entry }]) => entry);
    expired.forEach(({ id }) => {
      this.#incarnations.delete(id);
      this.#removedIds.set(id, true);
    });
    if (expired.length > 0) this.#entriesByService = undefined;
    return expired;
  }

  /**
   * Computes from when on an incarnation with an entry is usable. A copy may list one that has been
   * removed since; unless it writes its entry again, it waits until the registry would have dropped
   * the entry of one that is gone.
   */
  #computeUsableFromMs(id: string, nowMs: number, source: EntrySource): number {
    const wasRemoved = this.#removedIds.delete(id);
    if (source === EntrySource.Change) return nowMs;
    if (source === EntrySource.Copy && wasRemoved) return nowMs + RESTORE_HOLD_MS;
    return this.#incarnations.get(id)?.usableFromMs ?? nowMs;
  }

  /** @returns whether the superseded incarnation was in the directory */
  #supersede(id: string, nowMs: number): boolean {
    const incarnation = this.#incarnations.get(id);
    if (incarnation) {
      incarnation.usableUntilMs = Math.min(
        incarnation.usableUntilMs,
        nowMs + SUPERSEDED_RETENTION_MS,
      );
    }
    this.#endedIds.set(id, true);
    return incarnation !== undefined;
  }

  #listByService(serviceId: string): readonly BackendServerEntry[] {
    this.#entriesByService ??= splitByService(this.list());
    return this.#entriesByService.get(serviceId) ?? [];
  }
}

function splitByService(
  entries: readonly BackendServerEntry[],
): ReadonlyMap<string, readonly BackendServerEntry[]> {
  const groups = new Map<string, BackendServerEntry[]>();
  entries.forEach((entry) => {
    const group = groups.get(entry.serviceId);
    if (group) group.push(entry);
    else groups.set(entry.serviceId, [entry]);
  });
  return groups;
}

/** An incarnation whose entries name several versions may run any of them. */
function keepVersion(
  entry: BackendServerEntry,
  previous: BackendServerEntry | undefined,
): BackendServerEntry {
  const isSame = !previous || previous.softwareVersion === entry.softwareVersion;
  return isSame ? entry : { ...entry, softwareVersion: undefined };
}
