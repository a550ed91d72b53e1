/**
 * Which peers this entry host keeps links to.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type { HostState } from '../../domain/overlay/mod.js';
import type { Clock, EventLog, PeerNetwork } from '../../ports/mod.js';

/**
 * Time for which a link may stand without a report, in milliseconds: two peers that
 * have just found each other settle within some rounds of reports.
 */
const UNUSED_AFTER_MS = 5_000;

/** What the links need. */
export interface PeerLinksOptions {
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly selfUrl: string;
  /** Addresses that peers are looked for at. */
  readonly seeds: readonly string[];
}

/** What the links depend on. */
export interface WantedLinks {
  /** Peers' addresses that links are kept to. */
  readonly wanted: readonly string[];
  /** Peers that are heard, with or without a link. */
  readonly heard: readonly HostState[];
  /** @returns whether a linked peer reports to this entry host */
  readonly isUsed: (peer: EntryHostIdentity) => boolean;
}

/**
 * Dials peers that are wanted and seeds that nobody has heard of, and gives up links
 * that neither end uses. Each idle link costs pings at both ends, and everybody begins
 * at the same few seeds.
 */
export class PeerLinks {
  readonly #options: PeerLinksOptions;

  readonly #upAtMs = new Map<string, number>();

  #seeds: readonly string[];

  #dialled = '';

  /** @param options - what the links need */
  constructor(options: PeerLinksOptions) {
    this.#options = options;
    this.#seeds = options.seeds;
    options.peers.onLink(({ peer, up }) => this.#handleLink(peer, up));
  }

  /** @param peerUrls - addresses that peers are looked for at, from now on */
  setSeeds(peerUrls: readonly string[]): void {
    this.#seeds = peerUrls;
  }

  /** @param links - what is wanted now */
  update({ wanted, heard, isUsed }: WantedLinks): void {
    const isHeard = (url: string): boolean =>
      heard.some(({ identity }) => identity.peerUrl === url);
    const urls = new Set([...wanted, ...this.#seeds.filter((url) => !isHeard(url))]);
    urls.delete(this.#options.selfUrl);
    const dialled = [...urls].sort().join();
    if (dialled !== this.#dialled) this.#options.peers.setAddresses([...urls]);
    this.#dialled = dialled;
    this.#dropUnused(urls, isUsed);
  }

  #dropUnused(urls: ReadonlySet<string>, isUsed: WantedLinks['isUsed']): void {
    const { peers, clock } = this.#options;
    const oldestMs = clock.nowMs() - UNUSED_AFTER_MS;
    peers
      .listLinked()
      .filter(({ peerUrl }) => !urls.has(peerUrl))
      .filter((peer) => (this.#upAtMs.get(peer.incarnation) ?? Infinity) < oldestMs)
      .filter((peer) => !isUsed(peer))
      .forEach(({ incarnation }) => peers.dropLink(incarnation));
  }

  #handleLink({ id, incarnation }: EntryHostIdentity, isUp: boolean): void {
    const { clock, log } = this.#options;
    if (isUp) this.#upAtMs.set(incarnation, clock.nowMs());
    else this.#upAtMs.delete(incarnation);
    log.write(LogLevel.Info, isUp ? 'dependency_regained' : 'dependency_lost', {
      dependency: 'peer',
      entryHost: id,
      incarnation,
    });
  }
}
