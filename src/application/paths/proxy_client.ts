/**
 * Sends requests to backend servers through peers.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { HostState } from '../../domain/overlay/mod.js';
import { mayProxy } from '../../domain/paths/mod.js';
import { BackendFailure, PeerMessageType, ProxyEventKind, Reachability } from '../../ports/mod.js';
import type {
  BackendExchange,
  BackendListener,
  BackendRequest,
  Clock,
  EventLog,
  Metrics,
  PeerNetwork,
  ProxiedRequest,
  ProxyEvent,
  ProxyReplyMessage,
  RandomSource,
} from '../../ports/mod.js';

/** Time after which a probe through a peer counts as failed, in milliseconds. */
const PROBE_TIMEOUT_MS = 600;

/** Number of peers that are asked for one probe. */
const PROBING_PEERS = 2;

/** Number of peers that an exchange is offered to while each of them has no room. */
const MAX_PEERS_PER_EXCHANGE = 3;

/** Dependencies of {@link ProxyClient}. */
export interface ProxyClientOptions {
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Availability zone of this entry host. */
  readonly availabilityZone: string;
  /** @returns peers that are heard, directly or through others */
  readonly listHeard: () => readonly HostState[];
}

/** One request that a peer sends. */
interface PendingExchange {
  readonly request: BackendRequest;
  readonly listener: BackendListener;
  /** Incarnations of the peers that the request was offered to. */
  readonly offeredTo: Set<string>;
  /** Incarnation of the peer that has the request. */
  peer: string;
  nextIndex: number;
}

/** What a peer that was asked found at the address of a server. */
export interface PeerObservation {
  /** Incarnation of the peer. */
  readonly peer: string;
  /** What the peer found; undefined if it did not answer. */
  readonly reachability: Reachability | undefined;
}

interface PendingProbe {
  readonly peer: string;
  readonly finish: (reachability: Reachability | undefined) => void;
}

/** Picks peers, hands them requests and probes, and passes on what they report. */
export class ProxyClient {
  readonly #options: ProxyClientOptions;

  readonly #exchanges = new Map<number, PendingExchange>();

  readonly #probes = new Map<number, PendingProbe>();

  #lastId = 0;

  /** @param options - dependencies */
  constructor(options: ProxyClientOptions) {
    this.#options = options;
    const { peers } = options;
    peers.handle(PeerMessageType.ProxyReply, ({ incarnation }, reply) =>
      this.#handleReply(incarnation, reply),
    );
    peers.handle(PeerMessageType.ProxyProbeReply, ({ incarnation }, { probeId, reachability }) => {
      const probe = this.#probes.get(probeId);
      if (probe?.peer === incarnation) probe.finish(reachability);
    });
    peers.onLinkChange(({ peer, up }) => {
      if (!up) this.#handleLinkDown(peer.incarnation);
    });
  }

  /** Number of requests in flight through peers. */
  get exchangeCount(): number {
    return this.#exchanges.size;
  }

  /** Whether any peer can be asked to send a request. */
  get hasPeers(): boolean {
    return this.#listPeers(new Set()).length > 0;
  }

  /**
   * Hands a request to a peer.
   *
   * @param request - the request and its intended backend server
   * @param listener - receives the answer, also that no peer takes the request
   * @returns a handle of the request; undefined if there is no peer, and then nothing is called
   */
  send(request: BackendRequest, listener: BackendListener): BackendExchange | undefined {
    this.#lastId += 1;
    const exchangeId = this.#lastId;
    const exchange = { request, listener, offeredTo: new Set<string>(), peer: '', nextIndex: 0 };
    if (!this.#offer(exchangeId, exchange)) return undefined;
    return {
      // Only the peer knows; if it can't send the request, it says so.
      mayHaveBeenSent: true,
      cancel: () => this.#cancel(exchangeId),
    };
  }

  /**
   * Asks peers whether a process listens at an address.
   *
   * @param address - IP address and port
   * @returns what each of them found, in no particular order
   */
  ask(address: string): Promise<readonly PeerObservation[]> {
    const peers = this.#listPeers(new Set()).slice(0, PROBING_PEERS);
    return Promise.all(
      peers.map(async (peer) => ({ peer, reachability: await this.#probeThrough(peer, address) })),
    );
  }

  /**
   * Asks peers whether a process listens at an address.
   *
   * @param address - IP address and port
   * @returns open if any of them could connect; undefined if none answered
   */
  async probe(address: string): Promise<Reachability | undefined> {
    return mergeObservations(await this.ask(address));
  }

  #offer(exchangeId: number, exchange: PendingExchange): boolean {
    if (exchange.offeredTo.size >= MAX_PEERS_PER_EXCHANGE) return false;
    const { peers, metrics } = this.#options;
    const request = buildProxiedRequest(exchange.request);
    const message = { type: PeerMessageType.ProxyRequest, exchangeId, request } as const;
    const peer = this.#listPeers(exchange.offeredTo).find((one) => peers.send(one, message));
    if (peer === undefined) return false;
    exchange.offeredTo.add(peer);
    Object.assign(exchange, { peer, nextIndex: 0 });
    this.#exchanges.set(exchangeId, exchange);
    metrics.count('proxied_requests_total', { event: 'offered' });
    this.#logOffer(exchange);
    return true;
  }

  #logOffer({ request, peer, offeredTo }: PendingExchange): void {
    this.#options.log.write(LogLevel.Info, 'request_sent_through_peer', {
      requestId: request.request.requestId,
      backendServer: request.incarnationId,
      peer,
      offers: offeredTo.size,
      urgency: request.urgency,
      deadlineMs: Math.round(request.deadlineMs),
    });
  }

  /**
   * Lists linked peers that reach the backend servers, in random order. Those of other zones go
   * first, since the hosts of a zone often lose their links together.
   */
  #listPeers(excluded: ReadonlySet<string>): string[] {
    const { peers, listHeard, random, availabilityZone } = this.#options;
    const linked = new Set(peers.listLinkedPeers().map(({ incarnation }) => incarnation));
    return listHeard()
      .filter(mayProxy)
      .filter(({ identity: { incarnation } }) => linked.has(incarnation))
      .filter(({ identity: { incarnation } }) => !excluded.has(incarnation))
      .map(({ identity }) => ({
        id: identity.incarnation,
        order: random.nextFraction() + (identity.availabilityZone === availabilityZone ? 1 : 0),
      }))
      .sort((a, b) => a.order - b.order)
      .map(({ id }) => id);
  }

  #probeThrough(peer: string, address: string): Promise<Reachability | undefined> {
    const { clock, peers } = this.#options;
    this.#lastId += 1;
    const probeId = this.#lastId;
    return new Promise((resolve) => {
      const finish = (reachability: Reachability | undefined): void => {
        this.#probes.delete(probeId);
        resolve(reachability);
      };
      clock.setTimer(PROBE_TIMEOUT_MS, () => finish(undefined));
      this.#probes.set(probeId, { peer, finish });
      const isSent = peers.send(peer, { type: PeerMessageType.ProxyProbe, probeId, address });
      if (!isSent) finish(undefined);
    });
  }

  #cancel(exchangeId: number): void {
    const exchange = this.#exchanges.get(exchangeId);
    this.#exchanges.delete(exchangeId);
    if (!exchange) return;
    const message = { type: PeerMessageType.ProxyCancel, exchangeId } as const;
    this.#options.peers.send(exchange.peer, message);
  }

  #handleReply(peer: string, { exchangeId, index, event }: ProxyReplyMessage): void {
    const exchange = this.#exchanges.get(exchangeId);
    if (exchange?.peer !== peer) return;
    if (index !== exchange.nextIndex) {
      this.#cancel(exchangeId);
      exchange.listener.onFailure(BackendFailure.Broken, 'a message of the peer was lost');
      return;
    }
    exchange.nextIndex += 1;
    this.#applyEvent(exchangeId, exchange, event);
  }

  #applyEvent(exchangeId: number, exchange: PendingExchange, event: ProxyEvent): void {
    const { listener } = exchange;
    if (event.kind === ProxyEventKind.Notice) listener.onNotice(event.notice, event.isAuthentic);
    else if (event.kind === ProxyEventKind.Head) listener.onHead(event.head);
    else if (event.kind === ProxyEventKind.Body) listener.onBody(Buffer.from(event.bytes));
    else {
      this.#exchanges.delete(exchangeId);
      if (event.kind === ProxyEventKind.Complete) listener.onComplete();
      else if (!event.isBusy || !this.#offer(exchangeId, exchange))
        listener.onFailure(event.failure, event.reason);
    }
  }

  /** The peer may have sent its requests, so nothing is said about whether they ran. */
  #handleLinkDown(incarnation: string): void {
    [...this.#probes.values()]
      .filter(({ peer }) => peer === incarnation)
      .forEach(({ finish }) => finish(undefined));
    [...this.#exchanges]
      .filter(([, { peer }]) => peer === incarnation)
      .forEach(([exchangeId, { listener }]) => {
        this.#exchanges.delete(exchangeId);
        listener.onFailure(BackendFailure.Broken, 'the link to the peer is down');
      });
  }
}

/**
 * @param observations - what peers found at an address
 * @returns open if any of them could connect; undefined if none answered
 */
export function mergeObservations(
  observations: readonly PeerObservation[],
): Reachability | undefined {
  const known = observations.flatMap(({ reachability }) => reachability ?? []);
  return known.find((result) => result === Reachability.Open) ?? known[0];
}

function buildProxiedRequest({ request, ...rest }: BackendRequest): ProxiedRequest {
  const { requestId, method, target, headers, body } = request;
  return { ...rest, requestId, method, target, headers, body };
}
