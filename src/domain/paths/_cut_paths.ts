/**
 * The cut paths of an entry host, and when to look whether they are back.
 *
 * @module
 */

/** Time from a cut, or a check of it, to the next check, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/** Longest such time, for paths that are cut again and again, in milliseconds. */
const MAX_CHECK_INTERVAL_MS = 2_000;

/** Time after its return in which a new cut of a path counts as a relapse, in milliseconds. */
const RELAPSE_MS = 10_000;

/**
 * Time after the return of a cut path in which the others are tried by requests, in milliseconds.
 * Links are often restored together.
 */
const RETURN_MS = 2_000;

/** Time after such a return in which no cut path is probed, in milliseconds. */
const RETURN_PAUSE_MS = 1_000;

interface CutPath {
  nextCheckAtMs: number;
  readonly checkIntervalMs: number;
  /** When a request last tried it, or the path was cut. */
  triedAtMs: number;
}

interface RestoredPath {
  readonly atMs: number;
  readonly checkIntervalMs: number;
}

/** Cut paths by server, and how often each was cut again. */
export class CutPaths {
  readonly #cuts = new Map<string, CutPath>();

  readonly #restored = new Map<string, RestoredPath>();

  /** When a cut path was last found restored, in monotonic milliseconds. */
  #lastRestoredAtMs = Number.NEGATIVE_INFINITY;

  /** Number of cut paths. */
  get size(): number {
    return this.#cuts.size;
  }

  /** @param id - a server. @returns whether its path is cut */
  has(id: string): boolean {
    return this.#cuts.has(id);
  }

  /** @param id - a server whose path is cut. @param nowMs - monotonic time in milliseconds */
  add(id: string, nowMs: number): void {
    if (this.#cuts.has(id)) return;
    const checkIntervalMs = this.#computeCheckInterval(id, nowMs);
    const nextCheckAtMs = nowMs + checkIntervalMs;
    this.#cuts.set(id, { nextCheckAtMs, checkIntervalMs, triedAtMs: nowMs });
  }

  /** @param id - a server that was connected to. @param nowMs - monotonic time in milliseconds */
  recordConnected(id: string, nowMs: number): void {
    const cut = this.#cuts.get(id);
    if (!cut) return;
    this.#restored.set(id, { atMs: nowMs, checkIntervalMs: cut.checkIntervalMs });
    this.#lastRestoredAtMs = nowMs;
    this.#cuts.delete(id);
  }

  /**
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   * @returns whether its path is cut and the next check of it is due
   */
  isCheckDue(id: string, nowMs: number): boolean {
    const cut = this.#cuts.get(id);
    return cut !== undefined && nowMs >= cut.nextCheckAtMs;
  }

  /**
   * Takes the check of a cut path that is due.
   *
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   * @returns whether the path should be checked now; false until the next check is due
   */
  takeCheck(id: string, nowMs: number): boolean {
    const cut = this.#cuts.get(id);
    if (!cut || !this.isCheckDue(id, nowMs)) return false;
    cut.nextCheckAtMs = nowMs + cut.checkIntervalMs;
    return true;
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns whether a path was restored a moment ago, so that requests try the others
   */
  isReturning(nowMs: number): boolean {
    return nowMs - this.#lastRestoredAtMs < RETURN_PAUSE_MS;
  }

  /**
   * Takes the try of a cut path by a request, once after each return of another one.
   *
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   * @returns whether a request may try the path now
   */
  takeTry(id: string, nowMs: number): boolean {
    const cut = this.#cuts.get(id);
    if (!cut || cut.triedAtMs >= this.#lastRestoredAtMs) return false;
    if (nowMs - this.#lastRestoredAtMs > RETURN_MS) return false;
    cut.triedAtMs = nowMs;
    return true;
  }

  /** @param id - a server that has ended */
  forget(id: string): void {
    this.#cuts.delete(id);
    this.#restored.delete(id);
  }

  #computeCheckInterval(id: string, nowMs: number): number {
    const restored = this.#restored.get(id);
    if (!restored || nowMs - restored.atMs > RELAPSE_MS) return CHECK_INTERVAL_MS;
    return Math.min(MAX_CHECK_INTERVAL_MS, 2 * restored.checkIntervalMs);
  }
}
