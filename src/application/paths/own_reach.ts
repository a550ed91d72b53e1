/**
 * Checks whether this entry host reaches any backend server over its own links.
 *
 * @module
 */
import type { ServerPaths } from '../../domain/paths/mod.js';
import { ProbeCause, Reachability } from '../../ports/mod.js';
import type { Clock, ServerProbe } from '../../ports/mod.js';
import { waitFor } from './_wait_for.js';

/** Number of servers that are probed at a time. */
const PROBED_SERVERS = 3;

/** Time after which a server counts as lost unless it is connected to later, in milliseconds. */
const MAX_CONNECT_MS = 200;

/** Time that the first probe has before the others are sent, in milliseconds. */
const HEAD_START_MS = 50;

/** Time for which a connection shows that the own links work, in milliseconds. */
const REACHED_VALID_MS = 1_000;

/** Time for which failed probes stand for the own links, in milliseconds. */
const LOST_VALID_MS = 400;

/** A server and its address. */
export interface ServerAddress {
  readonly incarnationId: string;
  /** Host name or IP address, and port. */
  readonly address: string;
}

/** Dependencies of {@link OwnReach}. */
export interface OwnReachOptions {
  readonly clock: Clock;
  readonly probe: ServerProbe;
  readonly paths: ServerPaths;
  /** @returns servers that get work */
  readonly listServers: () => readonly ServerAddress[];
}

/**
 * Opens connections to a few servers, those first that were reached last: where most servers have
 * crashed, these are the likeliest to live. Where none could be reached, those that have started
 * since go first. Data on connections that were open before proves nothing about new ones.
 */
export class OwnReach {
  readonly #options: OwnReachOptions;

  #checkedAtMs = Number.NEGATIVE_INFINITY;

  #hasReached = false;

  #running: Promise<boolean> | undefined;

  /** Position in the list of servers of the next one that was never reached. */
  #nextIndex = 0;

  readonly #lostHandlers: (() => void)[] = [];

  /** @param options - dependencies */
  constructor(options: OwnReachOptions) {
    this.#options = options;
  }

  /** @param handler - called when none of the probed servers could be connected to */
  onLost(handler: () => void): void {
    this.#lostHandlers.push(handler);
  }

  /**
   * Checks whether this host can connect to a server. Results are kept for a moment.
   *
   * @param exceptAddress - address of a server that doesn't count. Default: none
   * @param sinceMs - time since when a connection that a request opened shows that it can. Default:
   *   none does
   * @returns whether it can; undefined if there is no server to probe
   */
  async check(exceptAddress?: string, sinceMs = Infinity): Promise<boolean | undefined> {
    if (this.#options.paths.lastConnectedAtMs >= sinceMs) return true;
    const ageMs = this.#options.clock.nowMs() - this.#checkedAtMs;
    if (ageMs < (this.#hasReached ? REACHED_VALID_MS : LOST_VALID_MS)) return this.#hasReached;
    return this.probe(exceptAddress);
  }

  /**
   * Does the same without regard to earlier results.
   *
   * @param exceptAddress - address of a server that doesn't count. Default: none
   * @returns whether this host can connect to a server; undefined if there is none to probe
   */
  async probe(exceptAddress?: string): Promise<boolean | undefined> {
    const servers = this.#pickServers(exceptAddress);
    if (servers.length === 0) return undefined;
    this.#running ??= this.#run(servers);
    return this.#running;
  }

  async #run(servers: readonly ServerAddress[]): Promise<boolean> {
    this.#hasReached = await this.#probeAny(servers);
    this.#checkedAtMs = this.#options.clock.nowMs();
    this.#running = undefined;
    return this.#hasReached;
  }

  /** @returns true with the first connection; false once all probes have failed */
  #probeAny(servers: readonly ServerAddress[]): Promise<boolean> {
    let lostCount = 0;
    const handleLost = (): void => {
      lostCount += 1;
      if (lostCount === servers.length) this.#confirmLoss(servers);
    };
    let hasReached = false;
    return new Promise((resolve) => {
      const probe = async (server: ServerAddress): Promise<void> => {
        hasReached = (await this.#probeServer(server, handleLost)) || hasReached;
        if (hasReached) resolve(true);
      };
      const [first, ...rest] = servers;
      const firstProbe = first && probe(first);
      const probeRest = async (): Promise<void> => {
        await this.#waitForFirst(firstProbe);
        if (!hasReached) await Promise.all(rest.map(probe));
      };
      Promise.all([firstProbe, probeRest()]).then(() => resolve(hasReached));
    });
  }

  /** Each probe takes a connection of its server: the others wait unless a loss is known. */
  async #waitForFirst(firstProbe: Promise<void> | undefined): Promise<void> {
    const { paths, clock } = this.#options;
    if (!paths.isLossConfirmed) await Promise.race([firstProbe, waitFor(clock, HEAD_START_MS)]);
  }

  async #probeServer(
    { incarnationId, address }: ServerAddress,
    handleLost: () => void,
  ): Promise<boolean> {
    const { probe, paths, clock } = this.#options;
    const result = probe.check(address, ProbeCause.OwnReach);
    const early = await Promise.race([result, waitFor(clock, MAX_CONNECT_MS)]);
    if (early !== Reachability.Open) handleLost();
    const isOpen = (await result) === Reachability.Open;
    if (isOpen) paths.recordConnected(incarnationId, clock.nowMs());
    return isOpen;
  }

  /** A connection that opens later than that undoes it. */
  #confirmLoss(servers: readonly ServerAddress[]): void {
    const { paths, clock } = this.#options;
    servers.forEach(({ incarnationId }) => paths.recordLost(incarnationId, clock.nowMs()));
    paths.confirmLoss();
    this.#lostHandlers.forEach((handler) => handler());
  }

  #pickServers(exceptAddress: string | undefined): ServerAddress[] {
    const { paths, listServers } = this.#options;
    const servers = listServers().filter(({ address }) => address !== exceptAddress);
    const reachedAt = ({ incarnationId }: ServerAddress): number =>
      paths.findReachedAt(incarnationId) ?? Number.NEGATIVE_INFINITY;
    const isNew = ({ incarnationId }: ServerAddress): boolean =>
      paths.isNewSinceLoss(incarnationId);
    const byReach = [...servers].sort(
      (a, b) => Number(isNew(b)) - Number(isNew(a)) || reachedAt(b) - reachedAt(a),
    );
    const latest = byReach.slice(0, PROBED_SERVERS - 1);
    const rest = servers.filter((server) => !latest.includes(server));
    this.#nextIndex = (this.#nextIndex + 1) % Math.max(1, rest.length);
    return [...latest, ...rest.slice(this.#nextIndex, this.#nextIndex + 1)];
  }
}
