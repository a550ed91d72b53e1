/**
 * Availability zones that operators have closed to new work.
 *
 * @module
 */

/** Zones whose state a snapshot has changed. */
export interface ZoneChanges {
  readonly closed: readonly string[];
  readonly opened: readonly string[];
}

/** Set of the zones that are currently closed. */
export class ClosedZones {
  readonly #closed = new Set<string>();

  /** Number of closed zones. */
  get size(): number {
    return this.#closed.size;
  }

  /** @returns the closed zones */
  list(): readonly string[] {
    return [...this.#closed];
  }

  /**
   * @param zone - an availability zone
   * @returns whether it is closed, so that its backend servers get no new requests
   */
  isClosed(zone: string): boolean {
    return this.#closed.has(zone);
  }

  /** @param zone - an availability zone to close. @returns whether it was open */
  close(zone: string): boolean {
    const wasOpen = !this.#closed.has(zone);
    this.#closed.add(zone);
    return wasOpen;
  }

  /** @param zone - an availability zone to open. @returns whether it was closed */
  open(zone: string): boolean {
    return this.#closed.delete(zone);
  }

  /**
   * Replaces all closed zones with a snapshot.
   *
   * @param zones - all zones that are closed
   * @returns the zones whose state has changed
   */
  replace(zones: ReadonlySet<string>): ZoneChanges {
    const opened = [...this.#closed].filter((zone) => !zones.has(zone));
    opened.forEach((zone) => this.open(zone));
    const closed = [...zones].filter((zone) => this.close(zone));
    return { closed, opened };
  }
}
