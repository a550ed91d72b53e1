/**
 * Remembers which peers could connect to which backend servers.
 *
 * @module
 */
import { BoundedMap } from '../../domain/collections/mod.js';
import type { Clock } from '../../ports/mod.js';

/** Time for which a result counts, in milliseconds. */
const RESULT_VALID_MS = 5_000;

/** Maximum number of results that are kept. */
const MAX_RESULTS = 4_096;

interface ReachResult {
  readonly atMs: number;
  readonly hasConnected: boolean;
}

/** Orders peers for a server: those that reached it, those of which nothing is known, the others. */
export class PeerReach {
  readonly #clock: Clock;

  readonly #results = new BoundedMap<ReachResult>(MAX_RESULTS);

  /** @param clock - provides monotonic time */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param peer - incarnation of a peer
   * @param address - address of a backend server
   * @param hasConnected - whether the peer could connect to it
   */
  record(peer: string, address: string, hasConnected: boolean): void {
    this.#results.set(`${peer} ${address}`, { atMs: this.#clock.nowMs(), hasConnected });
  }

  /**
   * @param peers - incarnations of peers
   * @param address - address of a backend server
   * @returns the peers, those first that are likeliest to reach the server
   */
  sort(peers: readonly string[], address: string): string[] {
    const rank = new Map(peers.map((peer) => [peer, this.#computeRank(peer, address)]));
    return [...peers].sort((a, b) => Number(rank.get(a)) - Number(rank.get(b)));
  }

  #computeRank(peer: string, address: string): number {
    const result = this.#results.get(`${peer} ${address}`);
    if (!result || this.#clock.nowMs() - result.atMs > RESULT_VALID_MS) return 0;
    return result.hasConnected ? -1 : 1;
  }
}
