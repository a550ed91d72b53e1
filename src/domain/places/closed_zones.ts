/**
 * Availability zones that operators have closed to new work.
 *
 * @module
 */

/** What a full reading has changed. */
export interface ZoneChanges {
  readonly closed: readonly string[];
  readonly opened: readonly string[];
}

/** Keeps the zones that are closed now. */
export class ClosedZones {
  readonly #closed = new Set<string>();

  /** How many are closed. */
  get size(): number {
    return this.#closed.size;
  }

  /** @param zone - an availability zone. @returns whether its backend servers get nothing */
  has(zone: string): boolean {
    return this.#closed.has(zone);
  }

  /** @param zone - an availability zone. @returns whether it was open */
  close(zone: string): boolean {
    const wasOpen = !this.#closed.has(zone);
    this.#closed.add(zone);
    return wasOpen;
  }

  /** @param zone - an availability zone. @returns whether it was closed */
  open(zone: string): boolean {
    return this.#closed.delete(zone);
  }

  /**
   * Replaces everything by a full reading.
   *
   * @param zones - all zones that are closed
   * @returns what that has changed
   */
  replace(zones: ReadonlySet<string>): ZoneChanges {
    const opened = [...this.#closed].filter((zone) => !zones.has(zone));
    opened.forEach((zone) => this.open(zone));
    const closed = [...zones].filter((zone) => this.close(zone));
    return { closed, opened };
  }
}
