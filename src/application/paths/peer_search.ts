/**
 * Finds peers that reach a backend server which this entry host can't connect to.
 *
 * @module
 */
import { derivePathVerdict, hasReachingPeer, PathVerdict } from '../../domain/paths/mod.js';
import type { PeerObservation } from '../../domain/paths/mod.js';
import type { Clock } from '../../ports/mod.js';
import type { ProxyClient } from './proxy_client.js';

/** Longest time for which peers are asked, in milliseconds. */
const SEARCH_MS = 1_000;

/** Time between two rounds of questions, in milliseconds. */
const ROUND_MS = 100;

/** Number of peers that are asked one by one, and number that are asked in each later round. */
const SINGLE_PEERS = 3;
const PEERS_PER_ROUND = 2;

/** Maximum number of peers that are asked in one search. */
const MAX_ASKED_PEERS = 8;

/** What a search found. */
export interface SearchResult {
  readonly verdict: PathVerdict;
  /** Whether any of the asked peers reaches a server. */
  readonly hasReachingPeer: boolean;
  /** What the asked peers found, as far as they answered in time. */
  readonly observations: readonly PeerObservation[];
}

/**
 * Asks linked peers until one decides: one by one at first, as each opens a connection to answer. While none is left, it waits for links to
 * others: a host of a large fleet is linked to its relay alone, which may be cut off as well.
 */
export class PeerSearch {
  readonly #clock: Clock;

  readonly #proxies: ProxyClient;

  readonly #address: string;

  readonly #deadlineAtMs: number;

  readonly #asked = new Set<string>();

  readonly #observations: PeerObservation[] = [];

  #hasEnded = false;

  #resolve: (result: SearchResult) => void = () => undefined;

  /**
   * @param clock - provides monotonic time
   * @param proxies - asks peers
   * @param address - IP address and port of a backend server
   */
  constructor(clock: Clock, proxies: ProxyClient, address: string) {
    this.#clock = clock;
    this.#proxies = proxies;
    this.#address = address;
    this.#deadlineAtMs = clock.nowMs() + SEARCH_MS;
  }

  /** @returns what peers found; the promise never rejects */
  run(): Promise<SearchResult> {
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#runRound();
    });
  }

  #runRound(): void {
    if (this.#hasEnded) return;
    const mayAsk = this.#asked.size < MAX_ASKED_PEERS;
    const linked = mayAsk ? this.#proxies.listLinkedFor(this.#asked, this.#address) : [];
    const count = this.#asked.size < SINGLE_PEERS ? 1 : PEERS_PER_ROUND;
    linked.slice(0, count).forEach((peer) => this.#ask(peer));
    const isWaiting = this.#observations.length < this.#asked.size;
    const mayFindMore = mayAsk && this.#proxies.hasPeersBeyond(this.#asked);
    const isOver = this.#clock.nowMs() >= this.#deadlineAtMs;
    if (isOver || (!isWaiting && !mayFindMore))
      this.#end(derivePathVerdict(this.#observations, true));
    else this.#clock.setTimer(ROUND_MS, () => this.#runRound());
  }

  async #ask(peer: string): Promise<void> {
    this.#asked.add(peer);
    this.#observations.push(await this.#proxies.ask(peer, this.#address));
    const verdict = derivePathVerdict(this.#observations);
    if (verdict !== PathVerdict.Undecided) this.#end(verdict);
  }

  #end(verdict: PathVerdict): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    const observations = [...this.#observations];
    this.#resolve({ verdict, hasReachingPeer: hasReachingPeer(observations), observations });
  }
}
