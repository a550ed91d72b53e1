/**
 * Requests that peers send to backend servers for this entry host.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import { BackendFailure, PeerFault, PeerMessageType, ProxyEventKind } from '../../ports/mod.js';
import type {
  BackendExchange,
  BackendListener,
  BackendRequest,
  ProxiedRequest,
  ProxyEvent,
  ProxyReplyMessage,
  ResumedExchange,
} from '../../ports/mod.js';
import type { PeerReach } from './_peer_reach.js';
import type { ProxyClientOptions } from './proxy_client.js';
import { ProxyResumption } from './_proxy_resumption.js';

/** Number of peers that an exchange is offered to while each of them has no room. */
const MAX_PEERS_PER_EXCHANGE = 3;

/** Dependencies of {@link OutgoingExchanges}. */
export interface OutgoingExchangesOptions extends Pick<
  ProxyClientOptions,
  'peers' | 'clock' | 'log' | 'metrics'
> {
  readonly reach: PeerReach;
  /** @returns linked peers without some, the one first that a request is offered to first */
  readonly listLinkedFor: (excluded: ReadonlySet<string>, address: string) => readonly string[];
}

/** One request that a peer sends. */
interface PendingExchange {
  readonly request: BackendRequest;
  readonly listener: BackendListener;
  /** Incarnations of the peers that the request was offered to. */
  readonly offeredTo: Set<string>;
  /** Incarnation of the peer that has the request. */
  peer: string;
  /** When the request was handed to that peer, in monotonic milliseconds. */
  offeredAtMs: number;
  nextIndex: number;
}

/** Hands requests to peers, and passes on what these report. */
export class OutgoingExchanges {
  readonly #options: OutgoingExchangesOptions;

  readonly #exchanges = new Map<number, PendingExchange>();

  readonly #resumption: ProxyResumption;

  #lastId = 0;

  /** @param options - dependencies */
  constructor(options: OutgoingExchangesOptions) {
    this.#options = options;
    options.peers.handle(PeerMessageType.ProxyReply, ({ incarnation }, reply) =>
      this.#handleReply(incarnation, reply),
    );
    this.#resumption = new ProxyResumption({
      ...options,
      listExchanges: (peer) => this.#listResumed(peer),
      onLost: (peer) => this.#failAll(peer),
      onResumed: (peer, awayMs) => this.#recordResumed(peer, awayMs),
    });
  }

  /** Number of requests in flight. */
  get count(): number {
    return this.#exchanges.size;
  }

  /** @param peer - incarnation of a peer. @returns whether requests are in flight through it */
  isUsing(peer: string): boolean {
    return [...this.#exchanges.values()].some((exchange) => exchange.peer === peer);
  }

  /** @returns incarnations of peers without a link that have requests in flight */
  listSuspended(): readonly string[] {
    return this.#resumption.listSuspended().filter((peer) => this.isUsing(peer));
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
    const offeredTo = new Set<string>();
    const exchange = { request, listener, offeredTo, peer: '', offeredAtMs: 0, nextIndex: 0 };
    if (!this.#offer(exchangeId, exchange)) return undefined;
    return {
      // Only the peer knows; if it can't send the request, it says so.
      mayHaveBeenSent: true,
      cancel: () => this.#cancel(exchangeId),
    };
  }

  /** Ends all timers. */
  stop(): void {
    this.#resumption.stop();
  }

  #offer(exchangeId: number, exchange: PendingExchange): boolean {
    if (exchange.offeredTo.size >= MAX_PEERS_PER_EXCHANGE) return false;
    const { peers, metrics, listLinkedFor, clock } = this.#options;
    const { address } = exchange.request;
    const request = buildProxiedRequest(exchange.request);
    const message = { type: PeerMessageType.ProxyRequest, exchangeId, request } as const;
    const linked = listLinkedFor(exchange.offeredTo, address);
    const peer = linked.find((one) => peers.send(one, message));
    if (peer === undefined) return false;
    exchange.offeredTo.add(peer);
    Object.assign(exchange, { peer, offeredAtMs: clock.nowMs(), nextIndex: 0 });
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

  /** Where the message is lost, the peer is told by the next link, or ends the exchange itself. */
  #cancel(exchangeId: number): void {
    const exchange = this.#exchanges.get(exchangeId);
    this.#exchanges.delete(exchangeId);
    if (!exchange) return;
    const message = { type: PeerMessageType.ProxyCancel, exchangeId } as const;
    this.#options.peers.send(exchange.peer, message);
  }

  #handleReply(peer: string, { exchangeId, index, event }: ProxyReplyMessage): void {
    const exchange = this.#exchanges.get(exchangeId);
    if (exchange?.peer !== peer || index < exchange.nextIndex) return;
    if (index > exchange.nextIndex) {
      this.#handleGap(exchangeId, exchange);
      return;
    }
    exchange.nextIndex += 1;
    this.#applyEvent(exchangeId, exchange, event);
  }

  #handleGap(exchangeId: number, { peer, listener }: PendingExchange): void {
    if (this.#resumption.isSuspended(peer) || this.#resumption.requestMissing(peer)) return;
    this.#cancel(exchangeId);
    listener.onFailure(BackendFailure.Broken, PeerFault.MessageLost);
  }

  #applyEvent(exchangeId: number, exchange: PendingExchange, event: ProxyEvent): void {
    const { listener } = exchange;
    if (event.kind === ProxyEventKind.Notice) listener.onNotice(event.notice, event.isAuthentic);
    else if (event.kind === ProxyEventKind.Head) {
      this.#options.reach.record(exchange.peer, exchange.request.address, true);
      listener.onHead(event.head);
    } else if (event.kind === ProxyEventKind.Body) listener.onBody(Buffer.from(event.bytes));
    else {
      this.#exchanges.delete(exchangeId);
      if (event.kind === ProxyEventKind.Complete) listener.onComplete();
      else if (!this.#offerElsewhere(exchangeId, exchange, event))
        listener.onFailure(event.failure, event.reason);
    }
  }

  /** Offers a request that was not sent to another peer: the former had no room, or no connection. */
  #offerElsewhere(
    exchangeId: number,
    exchange: PendingExchange,
    { failure, isBusy }: Extract<ProxyEvent, { kind: ProxyEventKind.Failure }>,
  ): boolean {
    const { peer, request } = exchange;
    const hasNotConnected = failure === BackendFailure.NotSent && !isBusy;
    if (hasNotConnected) this.#options.reach.record(peer, request.address, false);
    return (isBusy || hasNotConnected) && this.#offer(exchangeId, exchange);
  }

  #listEntries(peer: string): [number, PendingExchange][] {
    return [...this.#exchanges].filter(([, exchange]) => exchange.peer === peer);
  }

  #listResumed(peer: string): ResumedExchange[] {
    const nowMs = this.#options.clock.nowMs();
    return this.#listEntries(peer).map(([exchangeId, { nextIndex, offeredAtMs }]) => ({
      exchangeId,
      nextIndex,
      ageMs: nowMs - offeredAtMs,
    }));
  }

  /** The peer may have sent its requests, so nothing is said about whether they ran. */
  #failAll(peer: string): void {
    this.#listEntries(peer).forEach(([exchangeId, { listener }]) => {
      this.#cancel(exchangeId);
      listener.onFailure(BackendFailure.Broken, PeerFault.LinkDown);
    });
  }

  #recordResumed(peer: string, awayMs: number): void {
    const requests = this.#listEntries(peer).length;
    const { metrics, log } = this.#options;
    if (requests === 0) return;
    metrics.count('proxied_requests_total', { event: 'resumed' }, requests);
    const fields = { peer, requests, awayMs: Math.round(awayMs) };
    log.write(LogLevel.Info, 'requests_resumed_through_peer', fields);
  }
}

function buildProxiedRequest({ request, ...rest }: BackendRequest): ProxiedRequest {
  const { requestId, method, target, headers, body } = request;
  return { ...rest, requestId, method, target, headers, body };
}
