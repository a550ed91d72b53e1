/**
 * Sends requests to backend servers for peers that can't reach them.
 *
 * @module
 */
import type { ServerPaths } from '../../domain/paths/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { PeerMessageType, ProbeCause, Reachability } from '../../ports/mod.js';
import type {
  Clock,
  DirectBackendClient,
  EventLog,
  Metrics,
  PeerNetwork,
  ServerEvidence,
  ServerProbe,
} from '../../ports/mod.js';
import { IncomingExchanges } from './_incoming_exchanges.js';
import type { OwnReach, ServerAddress } from './own_reach.js';
import type { ProbeReply } from './_peer_probes.js';
import { waitFor } from './_wait_for.js';

/** Time after which a connection that is not open yet makes a check of the own links worthwhile, in ms. */
const HEAD_START_MS = 100;

/** The answer of a host whose own path is cut as well: what it could find would tell nothing. */
const NO_WORD: ProbeReply = { reachability: Reachability.Unknown, reachesOthers: undefined };

/** Time for which a peer's link counts as used after its last request, in milliseconds. */
const LINK_USE_MS = 10_000;

/** Dependencies of {@link ProxyServer}. */
export interface ProxyServerOptions {
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly probe: ServerProbe;
  /** Tells whether the own links work where a probe fails. */
  readonly ownReach: OwnReach;
  /** Sends a request over this host's own links only, so that no request is passed on twice. */
  readonly backend: DirectBackendClient;
  /** What is known of this host's own links. */
  readonly paths: ServerPaths;
  /** @param address - an address. @returns incarnation of the server there; undefined if unknown */
  readonly findIncarnation: (address: string) => string | undefined;
  /** @param server - a server that this host could not connect to for a peer */
  readonly checkServer: (server: ServerAddress) => void;
  /** @param id - a server incarnation. @returns false if it must get no work */
  readonly mayReceive: (id: string) => boolean;
  /** @param evidence - an answer to a request of a peer */
  readonly recordNotice: (evidence: ServerEvidence) => void;
}

/** Serves peers, the most urgent requests first and never more than a bounded number. */
export class ProxyServer {
  readonly #options: ProxyServerOptions;

  readonly #exchanges: IncomingExchanges;

  /** Probes for peers that are under way, by address. */
  readonly #probes = new Map<string, Promise<ProbeReply>>();

  /** When each peer process sent its last request, on the monotonic clock in milliseconds. */
  readonly #usedAtMs = new Map<string, number>();

  /** @param options - dependencies */
  constructor(options: ProxyServerOptions) {
    this.#options = options;
    const { peers } = options;
    this.#exchanges = new IncomingExchanges(options);
    peers.handle(PeerMessageType.ProxyRequest, (from, message) => {
      this.#usedAtMs.set(from.incarnation, options.clock.nowMs());
      this.#exchanges.handle(from, message);
    });
    peers.handle(PeerMessageType.ProxyProbe, (from, { probeId, address }) => {
      this.#probe(from, probeId, address);
    });
    peers.onLinkChange(({ peer, up }) => {
      if (!up) this.#usedAtMs.delete(peer.incarnation);
    });
  }

  /** Number of requests of peers that are in flight or wait. */
  get exchangeCount(): number {
    return this.#exchanges.count;
  }

  /**
   * @param incarnation - a peer's process
   * @returns whether requests of it are in flight, or were a moment ago
   */
  isUsedBy(incarnation: string): boolean {
    const usedAtMs = this.#usedAtMs.get(incarnation) ?? Number.NEGATIVE_INFINITY;
    return (
      this.#options.clock.nowMs() - usedAtMs < LINK_USE_MS ||
      this.#exchanges.countOf(incarnation) > 0
    );
  }

  /** Sends no further requests of peers, which hear that this host has no room. */
  refuseNewRequests(): void {
    this.#exchanges.refuseNew();
  }

  /** Ends all requests of peers, which are told so. */
  endAll(): void {
    this.#exchanges.endAll();
  }

  /** Cancels all requests of peers. */
  stop(): void {
    this.#exchanges.stop();
  }

  async #probe(from: EntryHostIdentity, probeId: number, address: string): Promise<void> {
    const result = this.#isCut(address) ? NO_WORD : await this.#findSharedReach(address);
    const type = PeerMessageType.ProxyProbeReply;
    this.#options.peers.send(from.incarnation, { type, probeId, ...result });
  }

  #isCut(address: string): boolean {
    const { paths, findIncarnation } = this.#options;
    const incarnationId = findIncarnation(address);
    return incarnationId !== undefined && paths.isCut(incarnationId);
  }

  /** Answers all peers that ask about a server at the same time by one connection. */
  #findSharedReach(address: string): Promise<ProbeReply> {
    const running = this.#probes.get(address);
    if (running) return running;
    const probe = this.#findReach(address);
    this.#probes.set(address, probe);
    probe.finally(() => this.#probes.delete(address));
    return probe;
  }

  async #findReach(address: string): Promise<ProbeReply> {
    const { probe, ownReach, clock } = this.#options;
    const askedAtMs = clock.nowMs();
    const result = probe.check(address, ProbeCause.Peer);
    const early = await Promise.race([result, waitFor(clock, HEAD_START_MS)]);
    const others =
      early === Reachability.Open ? undefined : ownReach.check(address, askedAtMs - HEAD_START_MS);
    const [reachability, reachesOthers] = await Promise.all([result, others]);
    this.#recordOpen(address, reachability);
    return { reachability, reachesOthers };
  }

  #recordOpen(address: string, reachability: Reachability): void {
    const { paths, clock, findIncarnation } = this.#options;
    const incarnationId = findIncarnation(address);
    if (reachability === Reachability.Open && incarnationId !== undefined)
      paths.recordConnected(incarnationId, clock.nowMs());
  }
}
