/**
 * Lists that hold until anything changes.
 *
 * @module
 */
import type { HostState } from './types.js';

/** Which list. */
export enum RosterList {
  Heard = 'heard',
  Known = 'known',
  Presumed = 'presumed',
  Serving = 'serving',
}

/**
 * Keeps lists of one revision. Hosts come and go a few times a minute; lists of hundreds of
 * them are asked for some hundred times a second.
 */
export class RevisionLists {
  readonly #lists = new Map<RosterList, readonly HostState[]>();

  #revision = -1;

  /**
   * @param name - which list
   * @param revision - the present revision
   * @param build - makes the list anew
   * @returns the list
   */
  take(
    name: RosterList,
    revision: number,
    build: () => readonly HostState[],
  ): readonly HostState[] {
    if (revision !== this.#revision) this.#lists.clear();
    this.#revision = revision;
    const kept = this.#lists.get(name);
    if (kept) return kept;
    const built = build();
    this.#lists.set(name, built);
    return built;
  }
}
