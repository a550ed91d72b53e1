/**
 * The age of cached information since its source last confirmed it.
 *
 * @module
 */
import { computeElapsedMs } from './clock_reading.js';
import type { ClockReading } from './clock_reading.js';

/**
 * Computes the age of a piece of cached information, counted from the *sending* of
 * the request whose response confirmed it. The source may have built the response
 * right after the request was sent, so an age counted from its arrival could make a
 * revoked key look valid for as long as the response was in transit.
 */
export class ConfirmedAge {
  #requestedAt: ClockReading | undefined;

  #sourceAgeMs = 0;

  /**
   * Records a confirmation. One that is older than the latest is ignored.
   *
   * @param requestedAt - when the request was sent
   * @param now - the present clock reading
   * @param sourceAgeMs - age that the information already had at the responder, in
   *   milliseconds; 0 if the responder is the source
   */
  confirm(requestedAt: ClockReading, now: ClockReading, sourceAgeMs = 0): void {
    const ageMs = computeElapsedMs(requestedAt, now) + sourceAgeMs;
    if (ageMs >= this.computeAgeMs(now)) return;
    this.#requestedAt = requestedAt;
    this.#sourceAgeMs = sourceAgeMs;
  }

  /**
   * @param now - the present clock reading
   * @returns age in milliseconds; infinite before the first confirmation
   */
  computeAgeMs(now: ClockReading): number {
    if (!this.#requestedAt) return Infinity;
    return computeElapsedMs(this.#requestedAt, now) + this.#sourceAgeMs;
  }
}
