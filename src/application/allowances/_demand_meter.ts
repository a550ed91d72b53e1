/**
 * Measures what an account asks of this entry host.
 *
 * @module
 */
import type { AllowanceShare } from '../../domain/limits/mod.js';

const MS_PER_SECOND = 1000;

/** Counts since the last request for a lease, refused attempts included. */
export class DemandMeter {
  #attempts = 0;

  #tokens = 0;

  #mostInFlight = 0;

  #sinceMs: number;

  #refusedCount = 0;

  #hadRefusals = false;

  #hadDemand = false;

  #wasIdle = false;

  /** @param nowMs - monotonic time in milliseconds */
  constructor(nowMs: number) {
    this.#sinceMs = nowMs;
  }

  /** Attempts since the last {@link DemandMeter.take}. */
  get attempts(): number {
    return this.#attempts;
  }

  /** Refusals since the last {@link DemandMeter.take}. */
  get refusedCount(): number {
    return this.#refusedCount;
  }

  /** Whether refusals began after the last {@link DemandMeter.take}: the home may have more room. */
  get hasNewRefusals(): boolean {
    return this.#refusedCount > 0 && !this.#hadRefusals;
  }

  /** Whether the last {@link DemandMeter.take} gave any demand. */
  get hadDemand(): boolean {
    return this.#hadDemand;
  }

  /** When the counts began, in milliseconds. */
  get sinceMs(): number {
    return this.#sinceMs;
  }

  /** Whether the home is to hear of the next attempt at once. */
  get wasIdle(): boolean {
    return this.#wasIdle;
  }

  /** Lets the home hear of the next attempt at once: the account was idle. */
  noteIdle(): void {
    this.#wasIdle = true;
  }

  /** @param tokens - expected tokens of an attempt. @param running - in flight before it */
  noteAttempt(tokens: number, running: number): void {
    this.#attempts += 1;
    this.#tokens += tokens;
    this.#mostInFlight = Math.max(this.#mostInFlight, running + 1);
  }

  /** Notes that the last attempt was refused. @param running - in flight now */
  noteRefusal(running: number): void {
    this.#refusedCount += 1;
    this.#mostInFlight = Math.max(this.#mostInFlight, running + this.#refusedCount);
  }

  /**
   * Gives the demand and begins to count anew.
   *
   * @param running - in flight now
   * @param minSpanMs - shortest time over which rates are computed, in milliseconds
   * @param nowMs - monotonic time in milliseconds
   * @returns demand since the last call
   */
  take(running: number, minSpanMs: number, nowMs: number): AllowanceShare {
    const seconds = Math.max(minSpanMs, nowMs - this.#sinceMs) / MS_PER_SECOND;
    const demand = {
      requestsPerSecond: this.#attempts / seconds,
      tokensPerSecond: this.#tokens / seconds,
      inFlight: Math.max(running, this.#mostInFlight),
    };
    this.#attempts = 0;
    this.#tokens = 0;
    this.#mostInFlight = 0;
    this.#hadDemand = demand.inFlight > 0;
    this.#hadRefusals = this.#refusedCount > 0;
    this.#refusedCount = 0;
    this.#wasIdle = false;
    this.#sinceMs = nowMs;
    return demand;
  }
}
