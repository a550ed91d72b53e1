/**
 * Peers whose reports count.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';

/** Remembers them until they are looked at next. */
export class CountedPeers {
  /** By incarnation. */
  readonly #byIncarnation = new Map<string, EntryHostIdentity>();

  /** @param identity - a peer whose report counts */
  add(identity: EntryHostIdentity): void {
    this.#byIncarnation.set(identity.incarnation, identity);
  }

  /**
   * Drops those that count no more: their reports must not stand for ever.
   *
   * @param counted - peers whose reports count now
   * @returns those that were dropped
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
