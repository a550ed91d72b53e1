/**
 * What an entry host knows of its own links to the backend servers.
 *
 * @module
 */

/**
 * Number of servers that peers reach and this host doesn't, without any sign of another server
 * in between, from which the host counts as cut off from all.
 */
const MIN_CUT_SERVERS = 2;

/** Time from a cut, or a check of it, to the next check, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/** Longest such time, for paths that are cut again and again, in milliseconds. */
const MAX_CHECK_INTERVAL_MS = 2_000;

/** Time after its return in which a new cut of a path counts as a relapse, in milliseconds. */
const RELAPSE_MS = 10_000;

/** Time for which a server counts as unreachable for all hosts, in milliseconds. */
const UNREACHABLE_MS = 1_000;

interface CutPath {
  nextCheckAtMs: number;
  readonly checkIntervalMs: number;
}

interface RestoredPath {
  readonly atMs: number;
  readonly checkIntervalMs: number;
}

/**
 * Tells a cut link from a dead server. A server that this host can't connect to has a cut path if
 * a peer can, and is unreachable if no peer can either. All IDs are incarnation IDs.
 */
export class ServerPaths {
  readonly #cuts = new Map<string, CutPath>();

  readonly #restored = new Map<string, RestoredPath>();

  readonly #unreachableUntilMs = new Map<string, number>();

  readonly #reachedAtMs = new Map<string, number>();

  /** Servers with a cut path that was noticed since any server was reached. */
  readonly #cutsSinceReached = new Set<string>();

  #lastReachedAtMs = Number.NEGATIVE_INFINITY;

  /** When any server was last reached directly, on the monotonic clock in milliseconds. */
  get lastReachedAtMs(): number {
    return this.#lastReachedAtMs;
  }

  /** Number of servers with a cut path. */
  get cutCount(): number {
    return this.#cuts.size;
  }

  /** Whether this host seems to reach no server, while its peers do. */
  get isCutOff(): boolean {
    return this.#cutsSinceReached.size >= MIN_CUT_SERVERS;
  }

  /** @param id - a server. @returns when it was last reached directly */
  findReachedAt(id: string): number | undefined {
    return this.#reachedAtMs.get(id);
  }

  /**
   * Records data from a server. It doesn't end a cut: open connections may live on while new ones
   * are refused.
   *
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   */
  recordReached(id: string, nowMs: number): void {
    this.#reachedAtMs.set(id, nowMs);
    this.#unreachableUntilMs.delete(id);
    this.#lastReachedAtMs = nowMs;
    this.#cutsSinceReached.clear();
  }

  /**
   * Records a new connection to a server.
   *
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   */
  recordConnected(id: string, nowMs: number): void {
    const cut = this.#cuts.get(id);
    if (cut) this.#restored.set(id, { atMs: nowMs, checkIntervalMs: cut.checkIntervalMs });
    this.#cuts.delete(id);
    this.recordReached(id, nowMs);
  }

  /**
   * Records that a peer reaches a server that this host can't connect to.
   *
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   */
  recordCut(id: string, nowMs: number): void {
    this.#cutsSinceReached.add(id);
    this.#unreachableUntilMs.delete(id);
    if (this.#cuts.has(id)) return;
    const checkIntervalMs = this.#computeCheckInterval(id, nowMs);
    this.#cuts.set(id, { nextCheckAtMs: nowMs + checkIntervalMs, checkIntervalMs });
  }

  /**
   * Records that neither this host nor a peer can connect to a server.
   *
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   */
  recordUnreachable(id: string, nowMs: number): void {
    this.#unreachableUntilMs.set(id, nowMs + UNREACHABLE_MS);
  }

  /**
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   * @returns whether nobody could connect to the server a moment ago
   */
  isUnreachable(id: string, nowMs: number): boolean {
    return nowMs < (this.#unreachableUntilMs.get(id) ?? Number.NEGATIVE_INFINITY);
  }

  /** @param id - a server. @returns whether requests to it must go through a peer */
  isCut(id: string): boolean {
    return this.isCutOff || this.#cuts.has(id);
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
    if (!cut && this.isCutOff) this.recordCut(id, nowMs);
    if (!cut || nowMs < cut.nextCheckAtMs) return false;
    cut.nextCheckAtMs = nowMs + cut.checkIntervalMs;
    return true;
  }

  /** @param id - a server that has ended */
  forget(id: string): void {
    this.#cuts.delete(id);
    this.#restored.delete(id);
    this.#unreachableUntilMs.delete(id);
    this.#reachedAtMs.delete(id);
    this.#cutsSinceReached.delete(id);
  }

  #computeCheckInterval(id: string, nowMs: number): number {
    const restored = this.#restored.get(id);
    if (!restored || nowMs - restored.atMs > RELAPSE_MS) return CHECK_INTERVAL_MS;
    return Math.min(MAX_CHECK_INTERVAL_MS, 2 * restored.checkIntervalMs);
  }
}
