/**
 * Measures the demand of one account on this entry host.
 *
 * @module
 */
import type { AllowanceShare } from '../../domain/limits/mod.js';

const MS_PER_SECOND = 1000;

/** Counts attempts, including refused ones, since the last lease request. */
export class DemandMeter {
  #attemptCount = 0;

  #tokenCount = 0;

  #peakInFlight = 0;

  #countingSinceMs: number;

  #refusedCount = 0;

  #hadRefusals = false;

  #hadDemand = false;

  #wasIdle = false;

  /** @param nowMs - monotonic time in milliseconds */
  constructor(nowMs: number) {
    this.#countingSinceMs = nowMs;
  }

  /** Number of attempts since the last {@link DemandMeter.takeDemand}. */
  get attemptCount(): number {
    return this.#attemptCount;
  }

  /** Number of refusals since the last {@link DemandMeter.takeDemand}. */
  get refusedCount(): number {
    return this.#refusedCount;
  }

  /**
   * Whether refusals began after the last {@link DemandMeter.takeDemand}, so that the lender may
   * have more to lend.
   */
  get hasNewRefusals(): boolean {
    return this.#refusedCount > 0 && !this.#hadRefusals;
  }

  /** Whether the last {@link DemandMeter.takeDemand} returned any demand. */
  get hadDemand(): boolean {
    return this.#hadDemand;
  }

  /** When counting began, in monotonic milliseconds. */
  get countingSinceMs(): number {
    return this.#countingSinceMs;
  }

  /** Whether the account was idle, so that its next attempt is reported to the lender at once. */
  get wasIdle(): boolean {
    return this.#wasIdle;
  }

  /** Marks the account as idle, so that its next attempt is reported to the lender at once. */
  markIdle(): void {
    this.#wasIdle = true;
  }

  /**
   * Records an attempt.
   *
   * @param tokens - expected tokens of the attempt
   * @param running - requests in flight before the attempt
   */
  recordAttempt(tokens: number, running: number): void {
    this.#attemptCount += 1;
    this.#tokenCount += tokens;
    this.#peakInFlight = Math.max(this.#peakInFlight, running + 1);
  }

  /** Records that the last attempt was refused. @param running - requests in flight now */
  recordRefusal(running: number): void {
    this.#refusedCount += 1;
    this.#peakInFlight = Math.max(this.#peakInFlight, running + this.#refusedCount);
  }

  /**
   * Returns the measured demand and restarts the counts.
   *
   * @param running - requests in flight now
   * @param minSpanMs - shortest time over which rates are computed, in milliseconds
   * @param nowMs - monotonic time in milliseconds
   * @returns the demand since the last call
   */
  takeDemand(running: number, minSpanMs: number, nowMs: number): AllowanceShare {
    const seconds = Math.max(minSpanMs, nowMs - this.#countingSinceMs) / MS_PER_SECOND;
    const demand = {
      requestsPerSecond: this.#attemptCount / seconds,
      tokensPerSecond: this.#tokenCount / seconds,
      inFlight: Math.max(running, this.#peakInFlight),
    };
    this.#attemptCount = 0;
    this.#tokenCount = 0;
    this.#peakInFlight = 0;
    this.#hadDemand = demand.inFlight > 0;
    this.#hadRefusals = this.#refusedCount > 0;
    this.#refusedCount = 0;
    this.#wasIdle = false;
    this.#countingSinceMs = nowMs;
    return demand;
  }
}
