/**
 * Keeps the list of the entry hosts that are present.
 *
 * @module
 */
import type { HostState } from '../../domain/overlay/mod.js';

/** Holds one array until a host comes or goes, so that what is derived from it can be cached. */
export class PresentHosts {
  #list: readonly HostState[] = [];

  /** The hosts as of the last update. */
  get list(): readonly HostState[] {
    return this.#list;
  }

  /** @param hosts - hosts that are present now */
  update(hosts: readonly HostState[]): void {
    const isSame =
      hosts.length === this.#list.length &&
      hosts.every(({ identity }, index) => identity.id === this.#list[index]?.identity.id);
    if (!isSame) this.#list = hosts;
  }
}
