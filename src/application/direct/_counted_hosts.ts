/**
 * Peers whose reports count.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';

/** Remembers them until they are looked at next. */
export class CountedHosts {
  /** By incarnation. */
  readonly #counted = new Map<string, EntryHostIdentity>();

  /** @param identity - a peer whose report counts */
  add(identity: EntryHostIdentity): void {
    this.#counted.set(identity.incarnation, identity);
  }

  /**
   * Drops those that count no more: their reports must not stand for ever.
   *
   * @param counted - peers whose reports count now
   * @returns those that were dropped
   */
  dropOthers(counted: readonly EntryHostIdentity[]): readonly EntryHostIdentity[] {
    const incarnations = new Set(counted.map(({ incarnation }) => incarnation));
    const dropped = [...this.#counted.values()].filter(
      ({ incarnation }) => !incarnations.has(incarnation),
    );
    dropped.forEach(({ incarnation }) => this.#counted.delete(incarnation));
    return dropped;
  }
}
