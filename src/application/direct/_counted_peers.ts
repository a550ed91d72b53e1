/**
 * Tracks the peers whose reports are included in this entry host's totals.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';

/** Keeps the peers whose reports count until they are checked against the current ones. */
export class CountedPeers {
  /** Identities by process incarnation. */
  readonly #byIncarnation = new Map<string, EntryHostIdentity>();

  /** @param identity - a peer whose report counts */
  add(identity: EntryHostIdentity): void {
    this.#byIncarnation.set(identity.incarnation, identity);
  }

  /**
   * Drops the peers whose reports no longer count, so that stale reports don't stay in the
   * totals forever.
   *
   * @param counted - peers whose reports count at present
   * @returns the dropped peers
   */
  retainOnly(counted: readonly EntryHostIdentity[]): readonly EntryHostIdentity[] {
    const retainedIncarnations = new Set(counted.map(({ incarnation }) => incarnation));
    const dropped = [...this.#byIncarnation.values()].filter(
      ({ incarnation }) => !retainedIncarnations.has(incarnation),
    );
    dropped.forEach(({ incarnation }) => this.#byIncarnation.delete(incarnation));
    return dropped;
  }
}
