/**
 * Takes backend servers out of choice that fail or have become far slower than
 * the others.
 *
 * @module
 */

/** Most of a group that may be ejected at once. */
export const MAX_EJECTED_PART = 1 / 3;

/** Failures in a row that eject. */
const FAILURES_TO_EJECT = 5;

/** Slowdown over the group's median that ejects. */
const SLOWDOWN_TO_EJECT = 4;

/** Fewest answers that a slowdown must rest on. */
const MIN_SLOWDOWN_SAMPLES = 5;

/** First time out, in milliseconds; it doubles with each ejection in a row. */
const EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;

/** Time of good behaviour after which the next ejection is a first one again, in milliseconds. */
const FORGIVE_AFTER_MS = 120_000;

/** How one backend server does. */
export interface ServerHealth {
  readonly id: string;
  /** Failures since its last success. */
  readonly failuresInRow: number;
  /** How much slower it is than its kind says. */
  readonly slowdown: number;
  /** Answers that the slowdown rests on, since it last came back. */
  readonly samples: number;
}

interface Ejection {
  untilMs: number;
  inRow: number;
}

/** Remembers who is ejected, and until when. Never more than a third of the group. */
export class OutlierEjector {
  readonly #ejections = new Map<string, Ejection>();

  /** @param id - which backend server. @param nowMs - monotonic time. @returns whether it is out */
  isEjected(id: string, nowMs: number): boolean {
    return nowMs < (this.#ejections.get(id)?.untilMs ?? Number.NEGATIVE_INFINITY);
  }

  /** @param id - which backend server. @returns when it comes back, on the monotonic clock */
  getReturnMs(id: string): number {
    return this.#ejections.get(id)?.untilMs ?? 0;
  }

  /**
   * Ejects outliers, worst first, as far as the cap allows.
   *
   * @param group - every backend server of the group that is not leaving
   * @param nowMs - monotonic time in milliseconds
   * @returns IDs that were ejected by this
   */
  eject(group: readonly ServerHealth[], nowMs: number): string[] {
    this.#expire(group, nowMs);
    const cap = Math.floor(group.length * MAX_EJECTED_PART);
    const out = group.filter(({ id }) => this.isEjected(id, nowMs)).length;
    const medianSlowdown = computeMedian(group.map(({ slowdown }) => slowdown));
    const outliers = group
      .filter(({ id }) => !this.isEjected(id, nowMs))
      .filter((health) => isOutlier(health, medianSlowdown))
      .sort((a, b) => b.failuresInRow - a.failuresInRow || b.slowdown - a.slowdown)
      .slice(0, Math.max(0, cap - out));
    outliers.forEach(({ id }) => this.#start(id, nowMs));
    return outliers.map(({ id }) => id);
  }

  #start(id: string, nowMs: number): void {
    const inRow = (this.#ejections.get(id)?.inRow ?? 0) + 1;
    const timeOutMs = Math.min(MAX_EJECTION_MS, EJECTION_MS * 2 ** (inRow - 1));
    this.#ejections.set(id, { untilMs: nowMs + timeOutMs, inRow });
  }

  /** Forgets who has behaved for long, and who is no longer in the group. */
  #expire(group: readonly ServerHealth[], nowMs: number): void {
    const ids = new Set(group.map(({ id }) => id));
    this.#ejections.forEach((ejection, id) => {
      if (!ids.has(id) || nowMs - ejection.untilMs > FORGIVE_AFTER_MS) this.#ejections.delete(id);
    });
  }
}

function isOutlier(health: ServerHealth, medianSlowdown: number): boolean {
  if (health.failuresInRow >= FAILURES_TO_EJECT) return true;
  return (
    health.samples >= MIN_SLOWDOWN_SAMPLES && health.slowdown > medianSlowdown * SLOWDOWN_TO_EJECT
  );
}

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
}
