/**
 * Checks whether backend servers can be reached, and by whom.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import { PathVerdict } from '../../domain/paths/mod.js';
import type { ServerPaths } from '../../domain/paths/mod.js';
import { ProbeCause, Reachability } from '../../ports/mod.js';
import type { Clock, EventLog, Metrics, ServerProbe } from '../../ports/mod.js';
import { LossWatch } from './_loss_watch.js';
import type { OwnReach, ServerAddress } from './own_reach.js';
import { CheckRate } from './_check_rate.js';
import { PathSweep } from './_path_sweep.js';
import { PeerSearch } from './peer_search.js';
import type { SearchResult } from './peer_search.js';
import type { ProxyClient } from './proxy_client.js';
import { waitFor } from './_wait_for.js';

/** Shortest time between two checks of one server, in milliseconds. */
const MIN_CHECK_INTERVAL_MS = 500;

/** Maximum number of servers that are checked at a time. */
const MAX_CHECKS = 16;

/** Time after which peers are asked beside a probe that has no result yet, in milliseconds. */
const HEAD_START_MS = 50;

/** Time for which a connection of a request shows that the own links work, in milliseconds. */
const CONNECTION_VALID_MS = 200;

/** Time in which peers may tell that a path is cut before the own links are checked, in ms. */
const PEER_HEAD_START_MS = 50;

/** Dependencies of {@link PathChecks}. */
export interface PathChecksOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Probes over this host's own links. */
  readonly probe: ServerProbe;
  readonly ownReach: OwnReach;
  readonly proxies: ProxyClient;
  readonly paths: ServerPaths;
  /** @param id - a server incarnation. @returns whether this host must leave it alone */
  readonly isPaused: (id: string) => boolean;
  /** @returns servers that get work */
  readonly listServers: () => readonly ServerAddress[];
}

/** Probes servers over this host's links and through peers, and records what follows. */
export class PathChecks {
  readonly #options: PathChecksOptions;

  readonly #rate: CheckRate;

  readonly #running = new Set<string>();

  readonly #cutHandlers: ((incarnationId: string) => void)[] = [];

  #wasCutOff = false;

  #wasNoneReachable = false;

  readonly #sweep: PathSweep;

  readonly #lossWatch: LossWatch;

  /** @param options - dependencies */
  constructor(options: PathChecksOptions) {
    this.#options = options;
    this.#rate = new CheckRate(options.clock, MIN_CHECK_INTERVAL_MS);
    this.#sweep = new PathSweep({
      ...options,
      check: (server) => this.check(server, false, ProbeCause.Sweep),
      recheck: (server) => this.recheck(server),
    });
    this.#lossWatch = new LossWatch({
      ...options,
      onChange: () => this.#publishChanges(),
      onSearched: (incarnationId, result) => this.#logSearch(incarnationId, result),
    });
    options.ownReach.onLost(() => {
      this.watch();
      this.#publishChanges();
    });
  }

  /** Whether peers are needed: for a check, or to send requests through them. */
  get needsPeers(): boolean {
    const { paths } = this.#options;
    return this.#running.size > 0 || paths.cutCount > 0 || paths.reachesNothing;
  }

  /** Ends all checks that repeat by themselves. */
  stop(): void {
    this.#lossWatch.stop();
    this.#sweep.stop();
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
   * @param cause - why a probe is opened, if any. Default: doubt about the server itself
   */
  check(server: ServerAddress, hasFailed = false, cause = ProbeCause.Doubt): void {
    const { paths, isPaused, clock } = this.#options;
    const { incarnationId } = server;
    if (isPaused(incarnationId)) return;
    const nowMs = clock.nowMs();
    if (hasFailed) paths.recordLost(incarnationId, nowMs);
    if (paths.isLossConfirmed || paths.mayHaveLostAll(nowMs)) {
      this.watch();
      return;
    }
    if (this.#mayRun(incarnationId))
      this.#start(incarnationId, this.#run(server, hasFailed, cause));
  }

  /**
   * Probes the own link to a server with a cut path if that is due.
   *
   * @param server - the server
   * @returns whether it is probed now
   */
  recheck(server: ServerAddress): boolean {
    const { paths, isPaused, clock } = this.#options;
    const { incarnationId } = server;
    if (paths.reachesNothing) this.watch();
    if (paths.isReturning(clock.nowMs())) return false;
    const mayRun = !isPaused(incarnationId) && this.#mayRun(incarnationId);
    const isDue = mayRun && paths.takeCheck(incarnationId, clock.nowMs());
    if (isDue) this.#start(incarnationId, this.#probeCutPath(server));
    return isDue;
  }

  #mayRun(incarnationId: string): boolean {
    const isFree = !this.#running.has(incarnationId) && this.#running.size < MAX_CHECKS;
    return isFree && this.#rate.mayTake(incarnationId);
  }

  #start(incarnationId: string, check: Promise<void>): void {
    this.#rate.take(incarnationId);
    this.#running.add(incarnationId);
    check.finally(() => this.#running.delete(incarnationId));
  }

  async #probeCutPath({ incarnationId, address }: ServerAddress): Promise<void> {
    const result = await this.#options.probe.check(address, ProbeCause.CutPath);
    if (result === Reachability.Open) this.recordConnected(incarnationId);
  }

  /** Checks all servers together, again and again, for as long as this host reaches none. */
  watch(): void {
    this.#lossWatch.start();
  }

  async #run(server: ServerAddress, hasFailed: boolean, cause: ProbeCause): Promise<void> {
    const { probe, proxies, paths, clock } = this.#options;
    const { incarnationId, address } = server;
    const startedAtMs = clock.nowMs();
    const own = hasFailed ? Promise.resolve(Reachability.Unknown) : probe.check(address, cause);
    const early = await Promise.race([own, waitFor(clock, HEAD_START_MS)]);
    if (early === Reachability.Open) {
      this.recordConnected(incarnationId);
      return;
    }
    const search = new PeerSearch(clock, proxies, address).run();
    this.#checkOwnReach(address, startedAtMs, search);
    // A connection that opens late is as good as one that opens at once.
    const lateResult = own.then((late) => (late === Reachability.Open ? undefined : search));
    const result = await Promise.race([lateResult, search]);
    if (!result) {
      this.recordConnected(incarnationId);
      return;
    }
    this.#logSearch(incarnationId, result);
    paths.recordLost(incarnationId, clock.nowMs());
    if (result.verdict === PathVerdict.Cut) this.#handleCut(incarnationId);
    else {
      const isConfirmed = result.verdict === PathVerdict.Unreachable;
      paths.recordUnreachable(incarnationId, clock.nowMs(), isConfirmed);
    }
    if (result.hasReachingPeer) paths.recordReachingPeer();
    if (paths.mayHaveLostAll(clock.nowMs())) this.watch();
    this.#publishChanges();
  }

  /** Checks whether this host reaches any server, unless peers soon tell that one path is cut. */
  async #checkOwnReach(
    address: string,
    startedAtMs: number,
    search: Promise<SearchResult>,
  ): Promise<void> {
    const { paths, clock, ownReach } = this.#options;
    if (paths.lastReachedAtMs >= startedAtMs) return;
    const early = await Promise.race([search, waitFor(clock, PEER_HEAD_START_MS)]);
    if (early?.verdict !== PathVerdict.Cut)
      ownReach.check(address, startedAtMs - CONNECTION_VALID_MS);
  }

  /** @param incarnationId - a server to which this host has just opened a connection */
  recordConnected(incarnationId: string): void {
    const { paths, clock } = this.#options;
    const wasCut = paths.isCut(incarnationId);
    paths.recordConnected(incarnationId, clock.nowMs());
    if (wasCut) this.#publish('server_path_restored', incarnationId);
    this.#publishChanges();
  }

  #handleCut(incarnationId: string): void {
    const { paths, clock } = this.#options;
    const wasCut = paths.isCut(incarnationId);
    paths.recordCut(incarnationId, clock.nowMs());
    if (!wasCut) this.#publish('server_path_cut', incarnationId);
    this.#cutHandlers.forEach((handler) => handler(incarnationId));
    if (!wasCut) this.#sweep.begin();
  }

  /** Logs that all paths were lost or regained; the connections of lost ones are not used again. */
  #publishChanges(): void {
    const { log, paths, listServers } = this.#options;
    if (paths.isNoneReachable !== this.#wasNoneReachable) {
      this.#wasNoneReachable = paths.isNoneReachable;
      const event = paths.isNoneReachable ? 'no_peer_reaches_servers' : 'server_search_ended';
      log.write(LogLevel.Warn, event, this.#describe());
    }
    if (paths.isCutOff === this.#wasCutOff) return;
    this.#wasCutOff = paths.isCutOff;
    const event = paths.isCutOff ? 'server_paths_lost' : 'server_paths_regained';
    log.write(LogLevel.Warn, event, this.#describe());
    if (!paths.isCutOff) return;
    const ids = listServers().map(({ incarnationId }) => incarnationId);
    ids.forEach((id) => this.#cutHandlers.forEach((handler) => handler(id)));
  }

  #publish(event: string, backendServer: string): void {
    const { log, metrics } = this.#options;
    log.write(LogLevel.Warn, event, { backendServer, ...this.#describe() });
    metrics.count('server_path_changes_total', { event });
  }

  #describe(): { readonly cutServers: number; readonly reachedAgoMs: number } {
    const { paths, clock } = this.#options;
    const reachedAgoMs = Math.round(clock.nowMs() - paths.lastReachedAtMs);
    return { cutServers: paths.cutCount, reachedAgoMs };
  }

  #logSearch(backendServer: string, { verdict, observations }: SearchResult): void {
    const answers = observations.map(
      ({ hasConnected, reachesOthers }) => `${describe(hasConnected)}/${describe(reachesOthers)}`,
    );
    this.#options.metrics.count('server_path_checks_total', { verdict });
    this.#options.log.write(LogLevel.Info, 'server_path_checked', {
      backendServer,
      verdict,
      peers: observations.map(({ peer }) => peer).join(),
      answers: answers.join(),
      ...this.#describe(),
    });
  }
}

function describe(value: boolean | undefined): string {
  if (value === undefined) return 'unknown';
  return value ? 'yes' : 'no';
}
