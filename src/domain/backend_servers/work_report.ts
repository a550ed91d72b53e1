/**
 * What one backend server reports of its own load.
 *
 * @module
 */
import { REPORT_DELAY_MS } from './slot_share.js';

/** Time that work takes usually, in percent. */
const USUAL_PERCENT = 100;

/** Time after which half of a report's effect on predictions is left, in milliseconds. */
const EFFECT_HALF_LIFE_MS = 300;

/** Bounds of the factor by which a report changes predictions. */
const MIN_FACTOR = 0.5;
const MAX_FACTOR = 2.5;

/**
 * Weight of each report in the average of a server's reports. The average is what the measured speed
 * of the server contains already: a server that always reports 400 is judged by its answers.
 */
const AVERAGE_ALPHA = 0.1;

/** Load that a backend server reports. */
export interface ServerWorkReport {
  /** Number of running requests. */
  readonly running: number;
  /** Number of queued requests. */
  readonly waiting: number;
  /** Time that work takes at this moment in percent of the usual time; undefined: not reported. */
  readonly workPercent?: number | undefined;
}

/** Keeps the newest report of a server, whose effect ends soon. */
export class WorkReport {
  #atMs = Number.NEGATIVE_INFINITY;

  #peersInFlight = 0;

  #percentAtMs = Number.NEGATIVE_INFINITY;

  #factor = 1;

  #averagePercent = USUAL_PERCENT;

  /**
   * Records a report.
   *
   * @param report - the report
   * @param ownInFlight - number of this host's requests on the server
   * @param nowMs - monotonic time in milliseconds
   */
  record(
    { running, waiting, workPercent }: ServerWorkReport,
    ownInFlight: number,
    nowMs: number,
  ): void {
    this.#atMs = nowMs;
    this.#peersInFlight = Math.max(0, running + waiting - ownInFlight);
    if (workPercent === undefined) return;
    this.#percentAtMs = nowMs;
    this.#averagePercent += AVERAGE_ALPHA * (workPercent - this.#averagePercent);
    const factor = workPercent / this.#averagePercent;
    this.#factor = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
  }

  /**
   * Corrects the number of requests that peers have on the server. It is only raised: requests that
   * are on their way are not in the server's own count, and a server could draw calls by low counts.
   *
   * @param reported - number that the peers reported, which may be older
   * @param nowMs - monotonic time in milliseconds
   * @returns the corrected number
   */
  correctPeersInFlight(reported: number, nowMs: number): number {
    if (nowMs - this.#atMs > REPORT_DELAY_MS) return reported;
    return Math.max(reported, this.#peersInFlight);
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns factor by which work takes longer now than on average
   */
  computeFactor(nowMs: number): number {
    const ageMs = nowMs - this.#percentAtMs;
    if (ageMs > 10 * EFFECT_HALF_LIFE_MS) return 1;
    return 1 + (this.#factor - 1) * 2 ** (-Math.max(0, ageMs) / EFFECT_HALF_LIFE_MS);
  }
}
