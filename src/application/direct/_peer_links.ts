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
const UNUSED_LINK_TIMEOUT_MS = 5_000;

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
export interface LinkInputs {
  /** Peers' addresses that links are kept to. */
  readonly wantedUrls: readonly string[];
  /** Peers that are heard, with or without a link. */
  readonly heardPeers: readonly HostState[];
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

  readonly #linkedAtMs = new Map<string, number>();

  #seedUrls: readonly string[];

  #lastAddresses = '';

  /** @param options - what the links need */
  constructor(options: PeerLinksOptions) {
    this.#options = options;
    this.#seedUrls = options.seeds;
    options.peers.onLink(({ peer, up }) => this.#handleLink(peer, up));
  }

  /** @param peerUrls - addresses that peers are looked for at, from now on */
  setSeedUrls(peerUrls: readonly string[]): void {
    this.#seedUrls = peerUrls;
  }

  /** @param links - what is wanted now */
  update({ wantedUrls, heardPeers, isUsed }: LinkInputs): void {
    const isHeard = (url: string): boolean =>
      heardPeers.some(({ identity }) => identity.peerUrl === url);
    const urls = new Set([...wantedUrls, ...this.#seedUrls.filter((url) => !isHeard(url))]);
    urls.delete(this.#options.selfUrl);
    const addresses = [...urls].sort().join();
    if (addresses !== this.#lastAddresses) this.#options.peers.setAddresses([...urls]);
    this.#lastAddresses = addresses;
    this.#dropUnused(urls, isUsed);
  }

  #dropUnused(keptUrls: ReadonlySet<string>, isUsed: LinkInputs['isUsed']): void {
    const { peers, clock } = this.#options;
    const linkedBeforeMs = clock.nowMs() - UNUSED_LINK_TIMEOUT_MS;
    peers
      .listLinked()
      .filter(({ peerUrl }) => !keptUrls.has(peerUrl))
      .filter((peer) => (this.#linkedAtMs.get(peer.incarnation) ?? Infinity) < linkedBeforeMs)
      .filter((peer) => !isUsed(peer))
      .forEach(({ incarnation }) => peers.dropLink(incarnation));
  }

  #handleLink({ id, incarnation }: EntryHostIdentity, isUp: boolean): void {
    const { clock, log } = this.#options;
    if (isUp) this.#linkedAtMs.set(incarnation, clock.nowMs());
    else this.#linkedAtMs.delete(incarnation);
    log.write(LogLevel.Info, isUp ? 'dependency_regained' : 'dependency_lost', {
      dependency: 'peer',
      entryHost: id,
      incarnation,
    });
  }
}
