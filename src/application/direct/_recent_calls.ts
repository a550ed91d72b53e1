/**
 * Remembers for which services calls have come to this entry host lately.
 *
 * @module
 */
import type { Clock } from '../../ports/mod.js';

/** Time after a call for which a service counts as called, in milliseconds. */
const CALL_MEMORY_MS = 2_000;

/** Knows which services are called at this entry host. */
export class RecentCalls {
  readonly #clock: Clock;

  /** Time of the newest call by service ID, on the monotonic clock in milliseconds. */
  readonly #calledAtMs = new Map<string, number>();

  /** @param clock - the clock that the memory is measured by */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** @param serviceId - a service that is called now */
  record(serviceId: string): void {
    this.#calledAtMs.set(serviceId, this.#clock.nowMs());
  }

  /** @param serviceId - a service. @returns whether it was called lately */
  has(serviceId: string): boolean {
    const calledAtMs = this.#calledAtMs.get(serviceId) ?? Number.NEGATIVE_INFINITY;
    return this.#clock.nowMs() - calledAtMs < CALL_MEMORY_MS;
  }

  /**
   * Counts this entry host where it is called.
   *
   * @param serviceIds - services
   * @returns 1 for each of them that was called lately, by service ID
   */
  count(serviceIds: readonly string[]): Record<string, number> {
    return Object.fromEntries(serviceIds.filter((id) => this.has(id)).map((id) => [id, 1]));
  }
}
