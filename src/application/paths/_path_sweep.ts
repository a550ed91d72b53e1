/**
 * Checks the other servers once the path to one was found cut.
 *
 * @module
 */
import type { ServerPaths } from '../../domain/paths/mod.js';
import type { Clock, Timer } from '../../ports/mod.js';
import type { ServerAddress } from './own_reach.js';

/** Number of servers that are checked in one turn. */
const SWEPT_SERVERS = 3;

/** Time in which a server is not swept again, however many paths are found cut, in milliseconds. */
const RESWEEP_MS = 2_000;

/** Time between two such turns, in milliseconds. */
const SWEEP_INTERVAL_MS = 250;

/** Dependencies and callbacks of {@link PathSweep}. */
export interface PathSweepOptions {
  readonly clock: Clock;
  readonly paths: ServerPaths;
  /** @returns servers that get work */
  readonly listServers: () => readonly ServerAddress[];
  /** @param server - a server whose path may be cut as well */
  readonly check: (server: ServerAddress) => void;
  /** @param server - a server with a cut path. @returns whether its path is probed now */
  readonly recheck: (server: ServerAddress) => boolean;
}

/**
 * Checks a few servers at a time, and cut paths as long as there are any. Links are often lost
 * together: the others are checked before requests are lost on them.
 */
export class PathSweep {
  readonly #options: PathSweepOptions;

  /** Servers that are still to be checked. */
  #unswept: readonly ServerAddress[] = [];

  /** When servers were checked, on the monotonic clock in milliseconds. */
  readonly #sweptAtMs = new Map<string, number>();

  #isRunning = false;

  #timer: Timer | undefined;

  /** @param options - dependencies and callbacks */
  constructor(options: PathSweepOptions) {
    this.#options = options;
  }

  /** Checks all servers that were not checked a moment ago. */
  begin(): void {
    const { clock, listServers } = this.#options;
    const sweptSinceMs = clock.nowMs() - RESWEEP_MS;
    this.#unswept = listServers().filter(
      ({ incarnationId }) => !(Number(this.#sweptAtMs.get(incarnationId)) > sweptSinceMs),
    );
    if (!this.#isRunning) this.#runTurn();
  }

  /** Ends the checks. */
  stop(): void {
    this.#timer?.cancel();
  }

  #runTurn(): void {
    const { paths, clock, check } = this.#options;
    this.#unswept = this.#unswept.filter((server) => this.#isDoubtful(server));
    this.#isRunning = this.#unswept.length > 0 || paths.cutCount > 0;
    if (!this.#isRunning) {
      this.#sweptAtMs.clear();
      return;
    }
    this.#recheckCutPath();
    this.#unswept.slice(0, SWEPT_SERVERS).forEach((server) => {
      this.#sweptAtMs.set(server.incarnationId, clock.nowMs());
      check(server);
    });
    this.#unswept = this.#unswept.slice(SWEPT_SERVERS);
    this.#timer = clock.setTimer(SWEEP_INTERVAL_MS, () => this.#runTurn());
  }

  #isDoubtful({ incarnationId }: ServerAddress): boolean {
    const { paths, clock } = this.#options;
    const reachedAtMs = paths.findReachedAt(incarnationId) ?? Number.NEGATIVE_INFINITY;
    return !paths.isCut(incarnationId) && reachedAtMs < clock.nowMs() - SWEEP_INTERVAL_MS;
  }

  /** Probes one cut path: once one is back, requests try the others. */
  #recheckCutPath(): void {
    const { paths, listServers, clock, recheck } = this.#options;
    listServers()
      .filter(({ incarnationId }) => paths.isCheckDue(incarnationId, clock.nowMs()))
      .some(recheck);
  }
}
