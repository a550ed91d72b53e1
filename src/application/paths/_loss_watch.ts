/**
 * Looks for a way to the backend servers while an entry host seems to reach none of them.
 *
 * @module
 */
import type { ServerPaths } from '../../domain/paths/mod.js';
import type { Clock, Timer } from '../../ports/mod.js';
import type { OwnReach, ServerAddress } from './own_reach.js';
import { PeerSearch } from './peer_search.js';
import type { SearchResult } from './peer_search.js';
import type { ProxyClient } from './proxy_client.js';
import { waitFor } from './_wait_for.js';

/** Interval at which the own links are tried again, in milliseconds. */
const RETRY_INTERVAL_MS = 500;

/** Shortest time between two tries where a loss or a server is new, in milliseconds. */
const MIN_INTERVAL_MS = 100;

/** Time in which working own links show before any peer is asked, in milliseconds. */
const HEAD_START_MS = 50;

/** Time for which peers are asked before all servers count as unreachable, in milliseconds. */
const SEARCH_MS = 2_000;

/** Dependencies and callbacks of {@link LossWatch}. */
export interface LossWatchOptions {
  readonly clock: Clock;
  readonly paths: ServerPaths;
  readonly ownReach: OwnReach;
  readonly proxies: ProxyClient;
  /** @returns servers that get work */
  readonly listServers: () => readonly ServerAddress[];
  /** Called after each step, as what is known of the servers may have changed. */
  readonly onChange: () => void;
  /** Called with the server that peers were asked about, and what they found. */
  readonly onSearched: (incarnationId: string, result: SearchResult) => void;
}

/** Tries the own links again and again, and asks peers until one reaches a server. */
export class LossWatch {
  readonly #options: LossWatchOptions;

  #isProbing = false;

  #startedAtMs = Number.NEGATIVE_INFINITY;

  #timer: Timer | undefined;

  #isSearching = false;

  #hasStopped = false;

  #searchCount = 0;

  /** Servers that were there when the own links were last tried. */
  #triedIds: ReadonlySet<string> = new Set();

  /** @param options - dependencies and callbacks */
  constructor(options: LossWatchOptions) {
    this.#options = options;
  }

  /** Starts, and ends by itself with the first server that is reached. */
  start(): void {
    const ageMs = this.#options.clock.nowMs() - this.#startedAtMs;
    const isNewLoss = !this.#options.paths.isLossConfirmed && ageMs >= MIN_INTERVAL_MS;
    const mustProbe = isNewLoss || (ageMs >= MIN_INTERVAL_MS && this.#hasNewServer());
    if (this.#isProbing || (this.#timer && !mustProbe)) return;
    this.#timer?.cancel();
    this.#runRound();
  }

  /** Ends the tries. */
  stop(): void {
    this.#hasStopped = true;
    this.#timer?.cancel();
  }

  /** Whether a server has started since the last try, while no host was found to reach any. */
  #hasNewServer(): boolean {
    const { paths } = this.#options;
    return paths.isNoneReachable && this.#listServerIds().some((id) => !this.#triedIds.has(id));
  }

  #listServerIds(): string[] {
    return this.#options.listServers().map(({ incarnationId }) => incarnationId);
  }

  async #runRound(): Promise<void> {
    const { clock, paths, ownReach, proxies, onChange } = this.#options;
    this.#timer = undefined;
    this.#isProbing = true;
    this.#startedAtMs = clock.nowMs();
    this.#triedIds = new Set(this.#listServerIds());
    if (!paths.isCutOff || !proxies.hasPeers) this.#search();
    await ownReach.probe();
    this.#isProbing = false;
    onChange();
    if (!this.#hasStopped && (paths.reachesNothing || paths.isLossConfirmed))
      this.#timer = clock.setTimer(RETRY_INTERVAL_MS, () => this.#runRound());
  }

  async #search(): Promise<void> {
    const { clock, paths, onChange } = this.#options;
    if (this.#isSearching) return;
    this.#isSearching = true;
    const ids = this.#listServerIds();
    const deadlineAtMs = clock.nowMs() + SEARCH_MS;
    await waitFor(clock, HEAD_START_MS);
    let hasReachingPeer = false;
    while (paths.reachesNothing && !hasReachingPeer && this.#mayAskUntil(deadlineAtMs)) {
      hasReachingPeer = await this.#askOnce();
    }
    if (hasReachingPeer && paths.reachesNothing) paths.recordReachingPeer();
    else if (paths.reachesNothing) paths.recordNoReachingPeer(ids);
    onChange();
    this.#isSearching = false;
  }

  #mayAskUntil(deadlineAtMs: number): boolean {
    const { clock, proxies, listServers } = this.#options;
    const mayAsk = proxies.listCandidates().length > 0 && listServers().length > 0;
    return mayAsk && clock.nowMs() < deadlineAtMs;
  }

  /** Asks about one server, another one each time. @returns whether a peer reaches any server */
  async #askOnce(): Promise<boolean> {
    const { clock, proxies, listServers, onSearched } = this.#options;
    const servers = listServers();
    this.#searchCount += 1;
    const server = servers[this.#searchCount % servers.length] as ServerAddress;
    const result = await new PeerSearch(clock, proxies, server.address).run();
    onSearched(server.incarnationId, result);
    return result.hasReachingPeer;
  }
}
