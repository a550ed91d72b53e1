/**
 * Lives of backend servers that are over though their entries may stand.
 *
 * @module
 */
import type { BackendServerEntry } from '../../domain/backend_servers/mod.js';

/**
 * Keeps what other entry hosts are to be told: they may have read an entry that this one
 * knows to be wrong, from a request or from what was written before they started.
 */
export class EndedIncarnations {
  /** Lives that requests, peers or restarts have shown to be over. */
  readonly #confirmedIds = new Set<string>();

  /**
   * Lives that are over although their entry stands: it was written late, or by a life
   * that had said that it leaves. By the name that it stands under.
   */
  readonly #unusableIds = new Map<string, string>();

  /** @param id - a life that is over */
  add(id: string): void {
    this.#confirmedIds.add(id);
  }

  /** @param ids - lives whose entries are gone for long enough that nobody uses them */
  forget(ids: readonly string[]): void {
    ids.forEach((id) => this.#confirmedIds.delete(id));
  }

  /** @param entry - an entry that stands now. @param isUsable - whether its life may be used */
  noteEntry({ id, serverId, isLeaving }: BackendServerEntry, isUsable: boolean): void {
    if (isLeaving || isUsable) this.#unusableIds.delete(serverId);
    else this.#unusableIds.set(serverId, id);
  }

  /** @param serverId - a name under which no entry stands any more */
  noteEntryRemoved(serverId: string): void {
    this.#unusableIds.delete(serverId);
  }

  /** Takes note that all entries are being read anew. */
  clearEntries(): void {
    this.#unusableIds.clear();
  }

  /** @returns all of them */
  list(): readonly string[] {
    return [...new Set([...this.#confirmedIds, ...this.#unusableIds.values()])];
  }
}
