/**
 * Checks whether backend servers can be reached, and by whom.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { ServerPaths } from '../../domain/paths/mod.js';
import { Reachability } from '../../ports/mod.js';
import type { Clock, EventLog, Metrics, ServerProbe } from '../../ports/mod.js';
import { mergeObservations } from './proxy_client.js';
import type { ProxyClient, PeerObservation } from './proxy_client.js';

/** Shortest time between two checks of one server, in milliseconds. */
const MIN_CHECK_INTERVAL_MS = 500;

/** Maximum number of servers that are checked at a time. */
const MAX_CHECKS = 16;

/** Dependencies of {@link PathChecks}. */
export interface PathChecksOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Probes over this host's own links. */
  readonly probe: ServerProbe;
  readonly proxies: ProxyClient;
  readonly paths: ServerPaths;
  /** @param id - a server incarnation. @returns whether this host must leave it alone */
  readonly isPaused: (id: string) => boolean;
}

/** A server and its address. */
export interface CheckedServer {
  readonly incarnationId: string;
  readonly address: string;
}

/** Probes servers over this host's links and through peers, and records what follows. */
export class PathChecks {
  readonly #options: PathChecksOptions;

  /** When servers were checked a moment ago, on the monotonic clock in milliseconds. */
  readonly #checkedAtMs = new Map<string, number>();

  readonly #running = new Set<string>();

  readonly #cutHandlers: ((incarnationId: string) => void)[] = [];

  #wasCutOff = false;

  /** @param options - dependencies */
  constructor(options: PathChecksOptions) {
    this.#options = options;
  }

  /** @param handler - called with each server whose path turns out to be cut */
  onCut(handler: (incarnationId: string) => void): void {
    this.#cutHandlers.push(handler);
  }

  /**
   * Finds out why a server seems to be out of reach. Does nothing if that was just done.
   *
   * @param server - a server
   * @param hasFailed - whether a connection of this host to it has just failed
   */
  check(server: CheckedServer, hasFailed = false): void {
    const { clock, isPaused } = this.#options;
    const { incarnationId } = server;
    if (isPaused(incarnationId)) return;
    const nowMs = clock.nowMs();
    this.#forgetChecksBefore(nowMs - MIN_CHECK_INTERVAL_MS);
    const isRecent = this.#checkedAtMs.has(incarnationId);
    if (isRecent || this.#running.has(incarnationId) || this.#running.size >= MAX_CHECKS) return;
    this.#checkedAtMs.set(incarnationId, nowMs);
    this.#running.add(incarnationId);
    this.#run(server, hasFailed).finally(() => this.#running.delete(incarnationId));
  }

  #forgetChecksBefore(earliestMs: number): void {
    this.#checkedAtMs.forEach((atMs, id) => {
      if (atMs <= earliestMs) this.#checkedAtMs.delete(id);
    });
  }

  async #run({ incarnationId, address }: CheckedServer, hasFailed: boolean): Promise<void> {
    const { probe, proxies, paths, clock } = this.#options;
    const own = hasFailed ? undefined : await probe.check(address);
    if (own === Reachability.Open) {
      const wasCut = paths.isCut(incarnationId);
      paths.recordConnected(incarnationId, clock.nowMs());
      if (wasCut) this.#publish('server_path_restored', incarnationId);
      return;
    }
    const observations = await proxies.ask(address);
    this.#logObservations(incarnationId, own, observations);
    const throughPeers = mergeObservations(observations);
    if (throughPeers === Reachability.Open) this.#handleCut(incarnationId);
    else if (throughPeers !== undefined) paths.recordUnreachable(incarnationId, clock.nowMs());
  }

  #logObservations(
    backendServer: string,
    own: Reachability | undefined,
    observations: readonly PeerObservation[],
  ): void {
    const { log, paths, clock } = this.#options;
    log.write(LogLevel.Info, 'server_path_checked', {
      backendServer,
      own: own ?? 'failed',
      peers: observations.map(({ peer }) => peer).join(),
      answers: observations.map(({ reachability }) => reachability ?? 'none').join(),
      reachedAgoMs: Math.round(clock.nowMs() - paths.lastReachedAtMs),
    });
  }

  #handleCut(incarnationId: string): void {
    const { paths, clock } = this.#options;
    const wasCut = paths.isCut(incarnationId);
    paths.recordCut(incarnationId, clock.nowMs());
    if (!wasCut) this.#publish('server_path_cut', incarnationId);
    this.#cutHandlers.forEach((handler) => handler(incarnationId));
  }

  #publish(event: string, backendServer: string): void {
    const { log, metrics, paths, clock } = this.#options;
    const reachedAgoMs = Math.round(clock.nowMs() - paths.lastReachedAtMs);
    const fields = { backendServer, cutServers: paths.cutCount, reachedAgoMs };
    log.write(LogLevel.Warn, event, fields);
    metrics.count('server_path_changes_total', { event });
    if (paths.isCutOff === this.#wasCutOff) return;
    this.#wasCutOff = paths.isCutOff;
    log.write(
      LogLevel.Warn,
      paths.isCutOff ? 'server_paths_lost' : 'server_paths_regained',
      fields,
    );
  }
}
