/**
 * Caches lists of entry hosts until the roster changes.
 *
 * @module
 */
import type { HostState } from './types.js';

/** Names of the cached lists. */
export enum RosterListName {
  Heard = 'heard',
  Known = 'known',
  Presumed = 'presumed',
  Serving = 'serving',
}

/**
 * Caches the lists of one revision of the roster. The roster changes a few times a minute, while
 * lists of hundreds of hosts are read some hundred times a second.
 */
export class RevisionCache {
  readonly #lists = new Map<RosterListName, readonly HostState[]>();

  #revision = -1;

  /**
   * Returns the cached list, or builds and caches it if the revision has changed.
   *
   * @param name - name of the list
   * @param revision - the roster's current revision
   * @param build - builds the list
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
