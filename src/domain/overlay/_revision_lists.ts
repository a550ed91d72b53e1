/**
 * Lists that hold until anything changes.
 *
 * @module
 */
import type { HostState } from './types.js';

/** Which list. */
export enum RosterListName {
  Heard = 'heard',
  Known = 'known',
  Presumed = 'presumed',
  Serving = 'serving',
}

/**
 * Keeps lists of one revision. Hosts come and go a few times a minute; lists of hundreds of
 * them are asked for some hundred times a second.
 */
export class RevisionCache {
  readonly #lists = new Map<RosterListName, readonly HostState[]>();

  #revision = -1;

  /**
   * @param name - which list
   * @param revision - the present revision
   * @param build - makes the list anew
   * @returns the list
   */
  getOrBuild(
    name: RosterListName,
    revision: number,
    build: () => readonly HostState[],
  ): readonly HostState[] {
    if (revision !== this.#revision) this.#lists.clear();
    this.#revision = revision;
    const cached = this.#lists.get(name);
    if (cached) return cached;
    const built = build();
    this.#lists.set(name, built);
    return built;
  }
}
