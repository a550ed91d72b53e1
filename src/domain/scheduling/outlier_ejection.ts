/**
 * Ejects backend servers that fail, or that have become far slower than the
 * others.
 *
 * @module
 */

/** Largest fraction of a group that may be ejected at once. */
export const MAX_EJECTED_FRACTION = 1 / 3;

/** Consecutive failures that lead to an ejection. */
const FAILURES_TO_EJECT = 5;

/** Ratio of a server's slowdown to the group's median that leads to an ejection. */
const SLOWDOWN_TO_EJECT = 4;

/** Fewest answers on which a slowdown must be based. */
const MIN_SLOWDOWN_SAMPLES = 5;

/** Duration of the first ejection, in milliseconds; it doubles with each consecutive ejection. */
const INITIAL_EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;

/** Time without ejection after which the duration starts over, in milliseconds. */
const EJECTION_RESET_MS = 120_000;

/** Health of one backend server. */
export interface ServerHealth {
  readonly id: string;
  /** Failures since the last success. */
  readonly consecutiveFailures: number;
  /** Factor by which the server is slower than its engine kind's nominal speed. */
  readonly slowdown: number;
  /** Answers on which the slowdown is based, since the server last returned. */
  readonly samples: number;
}

interface Ejection {
  untilMs: number;
  consecutiveEjections: number;
}

/**
 * Remembers which backend servers are ejected, and until when. At most a third
 * of the group is ejected at any time.
 */
export class OutlierEjector {
  readonly #ejections = new Map<string, Ejection>();

  /**
   * @param id - a backend server
   * @param nowMs - monotonic time
   * @returns whether it is ejected
   */
  isEjected(id: string, nowMs: number): boolean {
    return nowMs < (this.#ejections.get(id)?.untilMs ?? Number.NEGATIVE_INFINITY);
  }

  /** @param id - a backend server. @returns the end of its ejection, in monotonic milliseconds */
  getReturnAtMs(id: string): number {
    return this.#ejections.get(id)?.untilMs ?? 0;
  }

  /**
   * Ejects outliers, worst first, up to the limit.
   *
   * @param group - every backend server of the group that is not draining
   * @param nowMs - monotonic time in milliseconds
   * @returns IDs of the newly ejected backend servers
   */
  eject(group: readonly ServerHealth[], nowMs: number): string[] {
    this.#expire(group, nowMs);
    const maxEjected = Math.floor(group.length * MAX_EJECTED_FRACTION);
    const ejectedCount = group.filter(({ id }) => this.isEjected(id, nowMs)).length;
    const medianSlowdown = computeMedian(group.map(({ slowdown }) => slowdown));
    const outliers = group
      .filter(({ id }) => !this.isEjected(id, nowMs))
      .filter((health) => isOutlier(health, medianSlowdown))
      .sort((a, b) => b.consecutiveFailures - a.consecutiveFailures || b.slowdown - a.slowdown)
      .slice(0, Math.max(0, maxEjected - ejectedCount));
    outliers.forEach(({ id }) => this.#recordEjection(id, nowMs));
    return outliers.map(({ id }) => id);
  }

  #recordEjection(id: string, nowMs: number): void {
    const consecutiveEjections = (this.#ejections.get(id)?.consecutiveEjections ?? 0) + 1;
    const durationMs = Math.min(
      MAX_EJECTION_MS,
      INITIAL_EJECTION_MS * 2 ** (consecutiveEjections - 1),
    );
    this.#ejections.set(id, { untilMs: nowMs + durationMs, consecutiveEjections });
  }

  /** Removes ejections that ended long ago, or whose backend servers left the group. */
  #expire(group: readonly ServerHealth[], nowMs: number): void {
    const ids = new Set(group.map(({ id }) => id));
    this.#ejections.forEach((ejection, id) => {
      if (!ids.has(id) || nowMs - ejection.untilMs > EJECTION_RESET_MS) this.#ejections.delete(id);
    });
  }
}

function isOutlier(health: ServerHealth, medianSlowdown: number): boolean {
  if (health.consecutiveFailures >= FAILURES_TO_EJECT) return true;
  return (
    health.samples >= MIN_SLOWDOWN_SAMPLES && health.slowdown > medianSlowdown * SLOWDOWN_TO_EJECT
  );
}

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
}
