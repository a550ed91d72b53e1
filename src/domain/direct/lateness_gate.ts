/**
 * Decides how many new calls an entry host rejects because its timers run late.
 *
 * @module
 */

/** Longest time in which a call may be answered after its own time is over, in milliseconds. */
const PROMISED_LATENESS_MS = 500;

/**
 * Lateness from which on calls are rejected. A call is delayed by it twice, when its request is
 * read and when its time is over, and the rest is kept for the time until the rejections help.
 */
const LATE_MS = 0.3 * PROMISED_LATENESS_MS;

/** Lateness of a sound process, whose machine may stand still for the rest of a tenth of a second. */
const MAX_NORMAL_MS = 100;

/** Samples that must agree: one long garbage collection or pause delays a single one. */
const SAMPLE_COUNT = 3;

/** Lateness that counts as a pause of the process, if the sample before it was no late one. */
const PAUSE_MS = 1_000;

/** Time after the start in which code is loaded and compiled, in milliseconds. */
const START_MS = 3_000;

/** Change of the severity for each late sample: the host sheds fully after four of them. */
const RISE_PER_SAMPLE = 0.25;

/**
 * Change of the severity while the process is on time, per millisecond: two seconds to the end, so
 * that returning callers don't make the host late again.
 */
const FALL_PER_MS = 0.5 / 1_000;

/** Least fraction of the most urgent calls that is admitted, so that it shows whether more fits. */
const MIN_ADMITTED_FRACTION = 0.1;

/** A change of the gate: closed, some new calls are rejected; open, all are admitted. */
export enum GateChange {
  Closed = 'closed',
  Opened = 'opened',
}

/** Follows the lateness of a process with hysteresis. Time is an argument. */
export class LatenessGate {
  readonly #startedAtMs: number;

  /** The last samples in milliseconds, newest last. */
  #samples: readonly number[] = [];

  #recordedAtMs: number;

  /** Last sample, also of a pause. */
  #lastLateMs = 0;

  #severity = 0;

  /** @param nowMs - monotonic time at the start, in milliseconds */
  constructor(nowMs: number) {
    this.#startedAtMs = nowMs;
    this.#recordedAtMs = nowMs;
  }

  /** How strongly calls are rejected: from 0, not at all, to 1. */
  get severity(): number {
    return this.#severity;
  }

  /** Lateness of the last sample, in milliseconds. */
  get latenessMs(): number {
    return this.#samples.at(-1) ?? 0;
  }

  /**
   * Records how late a timer was.
   *
   * @param lateMs - time by which it was late because of work of the process, in milliseconds
   * @param nowMs - monotonic time in milliseconds
   * @returns the change that it causes; undefined if none
   */
  record(lateMs: number, nowMs: number): GateChange | undefined {
    const isPause = lateMs >= PAUSE_MS && this.#lastLateMs < LATE_MS;
    this.#lastLateMs = lateMs;
    this.#samples = isPause ? [] : [...this.#samples, lateMs].slice(-SAMPLE_COUNT);
    const elapsedMs = isPause ? 0 : nowMs - this.#recordedAtMs;
    this.#recordedAtMs = nowMs;
    const before = this.#severity;
    if (nowMs - this.#startedAtMs < START_MS) return undefined;
    this.#severity = this.#computeSeverity(elapsedMs);
    if (before === 0 && this.#severity > 0) return GateChange.Closed;
    return before > 0 && this.#severity === 0 ? GateChange.Opened : undefined;
  }

  #computeSeverity(elapsedMs: number): number {
    const leastMs = this.#samples.length < SAMPLE_COUNT ? 0 : Math.min(...this.#samples);
    if (leastMs >= LATE_MS) return Math.min(1, this.#severity + RISE_PER_SAMPLE);
    if (leastMs >= MAX_NORMAL_MS) return this.#severity;
    return Math.max(0, this.#severity - elapsedMs * FALL_PER_MS);
  }
}

/**
 * Computes which fraction of the calls of a rank is rejected. No call is rejected while any of a
 * lower rank is admitted.
 *
 * @param severity - severity of the gate, from 0 to 1
 * @param position - place of the rank among those in use; 0 is the most urgent
 * @param rankCount - number of ranks in use
 * @returns the fraction, from 0 to 1
 */
export function computeRejectedFraction(
  severity: number,
  position: number,
  rankCount: number,
): number {
  const level = severity * (rankCount - MIN_ADMITTED_FRACTION);
  return Math.min(1, Math.max(0, level - (rankCount - 1 - position)));
}
