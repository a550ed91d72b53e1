/**
 * Decides which peers this entry host keeps links to.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type { HostState } from '../../domain/overlay/mod.js';
import type { Clock, EventLog, PeerNetwork } from '../../ports/mod.js';

/**
 * Age from which a link without reports is dropped, in milliseconds. Two peers that have just
 * discovered each other need a few report rounds to agree on their roles.
 */
const UNUSED_LINK_TIMEOUT_MS = 5_000;

/** Dependencies and settings of {@link PeerLinks}. */
export interface PeerLinksOptions {
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly selfUrl: string;
  /** URLs of the seed peers, where discovery starts. */
  readonly seeds: readonly string[];
}

/** Inputs of one update of the links. */
export interface LinkInputs {
  /** URLs of the peers to keep links to. */
  readonly wantedUrls: readonly string[];
  /** Peers that are heard from, directly or through a relay. */
  readonly heard: readonly HostState[];
  /** @returns whether a linked peer reports to this entry host */
  readonly isUsed: (peer: EntryHostIdentity) => boolean;
}

/**
 * Dials the wanted peers and those seeds that are not heard from, and drops links that neither
 * end uses. Each idle link costs pings at both ends, and all entry hosts start at the same few
 * seeds.
 */
export class PeerLinks {
  readonly #options: PeerLinksOptions;

  readonly #linkedAtMs = new Map<string, number>();

  #seedUrls: readonly string[];

  #lastAddresses = '';

  /** @param options - dependencies and settings */
  constructor(options: PeerLinksOptions) {
    this.#options = options;
    this.#seedUrls = options.seeds;
    options.peers.onLinkChange(({ peer, up }) => this.#handleLink(peer, up));
  }

  /** @param peerUrls - URLs of the seed peers from now on */
  setSeedUrls(peerUrls: readonly string[]): void {
    this.#seedUrls = peerUrls;
  }

  /** @param links - the present inputs */
  update({ wantedUrls, heard: heardPeers, isUsed }: LinkInputs): void {
    const isHeard = (url: string): boolean =>
      heardPeers.some(({ identity }) => identity.peerUrl === url);
    const urls = new Set([...wantedUrls, ...this.#seedUrls.filter((url) => !isHeard(url))]);
    urls.delete(this.#options.selfUrl);
    const addresses = [...urls].sort().join();
    if (addresses !== this.#lastAddresses) this.#options.peers.setPeerUrls([...urls]);
    this.#lastAddresses = addresses;
    this.#dropUnused(urls, isUsed);
  }

  #dropUnused(keptUrls: ReadonlySet<string>, isUsed: LinkInputs['isUsed']): void {
    const { peers, clock } = this.#options;
    const linkedBeforeMs = clock.nowMs() - UNUSED_LINK_TIMEOUT_MS;
    peers
      .listLinkedPeers()
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
