/**
 * Tracks the backend server incarnations that have ended although an entry may still list them.
 *
 * @module
 */
import type { BackendServerEntry } from '../../domain/backend_servers/mod.js';

/**
 * Collects the ended incarnations that are reported to other entry hosts. Another host may use
 * an entry that this one knows to be wrong, because a request has shown it or because a write
 * from before the other host's start contradicts it.
 */
export class EndedIncarnations {
  /** IDs of incarnations that requests, peers or restarts have shown to have ended. */
  readonly #confirmedIds = new Set<string>();

  /**
   * IDs of ended incarnations whose entry still stands, by server ID. The entry was written
   * late, or by an incarnation that had already announced that it leaves.
   */
  readonly #unusableIds = new Map<string, string>();

  /** @param id - an incarnation that has ended */
  add(id: string): void {
    this.#confirmedIds.add(id);
  }

  /** @param ids - incarnations whose entries were removed so long ago that nobody uses them */
  forget(ids: readonly string[]): void {
    ids.forEach((id) => this.#confirmedIds.delete(id));
  }

  /**
   * Records whether the incarnation of a present entry may be used.
   *
   * @param entry - the entry
   * @param isUsable - whether its incarnation may be used
   */
  recordEntry({ id, serverId, isLeaving }: BackendServerEntry, isUsable: boolean): void {
    if (isLeaving || isUsable) this.#unusableIds.delete(serverId);
    else this.#unusableIds.set(serverId, id);
  }

  /** @param serverId - a server that no longer has an entry */
  recordRemoval(serverId: string): void {
    this.#unusableIds.delete(serverId);
  }

  /** Forgets the entries that stood before a full read of the store. */
  clearEntries(): void {
    this.#unusableIds.clear();
  }

  /** @returns the IDs of all ended incarnations */
  list(): readonly string[] {
    return [...new Set([...this.#confirmedIds, ...this.#unusableIds.values()])];
  }
}
