/**
 * Requests that this entry host sends to backend servers for its peers.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { UrgencyGate } from '../../domain/paths/mod.js';
import { BackendFailure, PeerFault, PeerMessageType } from '../../ports/mod.js';
import type {
  LinkEvent,
  ProxiedRequest,
  ProxyEvent,
  ProxyRequestMessage,
  ProxyResumeMessage,
  ResumedExchange,
  Timer,
} from '../../ports/mod.js';
import { AskerRecord } from './_asker_record.js';
import { ProxiedExchange } from './_proxied_exchange.js';
import type { ProxyServerOptions } from './proxy_server.js';
import { ReplyLog } from './_reply_log.js';
import type { KeptBytes } from './_reply_log.js';
import { MAX_CLOSED_RUN_MS, MAX_SUSPENSION_MS } from './_resume_times.js';

/** Maximum number of requests that are sent for peers at a time. */
const MAX_RUNNING = 96;

/** Maximum number of requests of peers that wait. */
const MAX_WAITING = 64;

/** Interval at which exchanges that have ended are forgotten, in milliseconds. */
const PRUNE_INTERVAL_MS = 1_000;

/** Dependencies of {@link IncomingExchanges}. */
export type IncomingExchangesOptions = Pick<
  ProxyServerOptions,
  'peers' | 'clock' | 'log' | 'metrics' | 'backend' | 'mayReceive' | 'recordNotice' | 'checkServer'
>;

/** Runs the exchanges of peers, which outlive a link for a while. */
export class IncomingExchanges {
  readonly #options: IncomingExchangesOptions;

  readonly #gate = new UrgencyGate({ maxRunning: MAX_RUNNING, maxWaiting: MAX_WAITING });

  /** Exchanges by the incarnation of the peer. */
  readonly #askers = new Map<string, AskerRecord>();

  /** Timers at whose end exchanges of a peer end that lost their link, by its incarnation. */
  readonly #lossTimers = new Map<string, Set<Timer>>();

  readonly #keptBytes: KeptBytes = { total: 0 };

  #isRefusing = false;

  #pruneTimer: Timer | undefined;

  /** @param options - dependencies */
  constructor(options: IncomingExchangesOptions) {
    this.#options = options;
    const { peers } = options;
    peers.handle(PeerMessageType.ProxyCancel, ({ incarnation }, { exchangeId }) => {
      this.#askers.get(incarnation)?.findRunning(exchangeId)?.cancel();
    });
    peers.handle(PeerMessageType.ProxyResume, (from, message) => this.#resume(from, message));
    peers.onLinkChange((event) => {
      if (event.up) this.#handleLinkUp(event.peer);
      else this.#handleLinkDown(event);
    });
  }

  /** Number of requests that are in flight or wait. */
  get count(): number {
    return [...this.#askers.values()].reduce((sum, { runningCount }) => sum + runningCount, 0);
  }

  /** @param incarnation - a peer's process. @returns how many of its requests are in flight */
  countOf(incarnation: string): number {
    return this.#askers.get(incarnation)?.runningCount ?? 0;
  }

  /** Refuses all later requests, so that other peers are asked. */
  refuseNew(): void {
    this.#isRefusing = true;
  }

  /** Ends all exchanges, and tells the peers; first those that would take the room of others. */
  endAll(): void {
    this.refuseNew();
    [...this.#askers.values()]
      .flatMap((asker) => asker.listRunning())
      .sort((a, b) => Number(a.isRunning) - Number(b.isRunning))
      .forEach((exchange) => exchange.abort());
  }

  /** Cancels all exchanges. */
  stop(): void {
    [...this.#lossTimers.keys()].forEach((incarnation) => this.#cancelLossTimers(incarnation));
    this.#askers.forEach((asker) => asker.cancelOthers(new Set()));
    this.#pruneTimer?.cancel();
  }

  /** @param from - a peer. @param message - its request */
  handle(from: EntryHostIdentity, { exchangeId, request }: ProxyRequestMessage): void {
    const { clock, backend, mayReceive, recordNotice, checkServer } = this.#options;
    const asker = this.#getAsker(from);
    if (asker.has(exchangeId)) return;
    const exchange: ProxiedExchange = new ProxiedExchange({
      request,
      clock,
      backend,
      gate: this.#gate,
      mayReceive: () => mayReceive(request.incarnationId),
      recordNotice,
      onNotConnected: () => checkServer(request),
      isKept: from.resumesExchanges === true,
      keptBytes: this.#keptBytes,
      reply: this.#buildReply(from, exchangeId),
      onEnd: (result, waitedMs) => {
        asker.end(exchangeId, exchange.log);
        this.#schedulePrune();
        this.#recordEnd(from, request, result, waitedMs);
      },
    });
    asker.add(exchangeId, exchange);
    if (this.#isRefusing) exchange.refuseBusy();
    else exchange.start();
  }

  #buildReply(
    { incarnation }: EntryHostIdentity,
    exchangeId: number,
  ): (index: number, event: ProxyEvent) => boolean {
    const type = PeerMessageType.ProxyReply;
    return (index, event) =>
      this.#options.peers.send(incarnation, { type, exchangeId, index, event });
  }

  #recordEnd(
    from: EntryHostIdentity,
    request: ProxiedRequest,
    result: string,
    waitedMs: number,
  ): void {
    const { metrics, log } = this.#options;
    metrics.count('requests_sent_for_peers_total', { result });
    log.write(LogLevel.Info, 'request_sent_for_peer', {
      requestId: request.requestId,
      backendServer: request.incarnationId,
      entryHost: from.id,
      urgency: request.urgency,
      waitedMs: Math.round(waitedMs),
      result,
    });
  }

  /** Sends what a peer has missed while there was no link, and ends what it needs no more. */
  #resume(from: EntryHostIdentity, { resumeId, exchanges }: ProxyResumeMessage): void {
    const { incarnation } = from;
    this.#cancelLossTimers(incarnation);
    const asker = this.#getAsker(from);
    asker.cancelOthers(new Set(exchanges.map(({ exchangeId }) => exchangeId)));
    exchanges.forEach((exchange) => {
      const log = asker.findLog(exchange) ?? this.#createLostLog(from, asker, exchange);
      log.resume(exchange.nextIndex);
    });
    this.#options.peers.send(incarnation, { type: PeerMessageType.ProxyResumed, resumeId });
  }

  /** A request that never arrived is not sent any more, even if it arrives after this. */
  #createLostLog(from: EntryHostIdentity, asker: AskerRecord, exchange: ResumedExchange): ReplyLog {
    const { exchangeId } = exchange;
    const log = new ReplyLog({
      clock: this.#options.clock,
      isKept: true,
      keptBytes: this.#keptBytes,
      send: this.#buildReply(from, exchangeId),
      onLost: () => undefined,
    });
    if (asker.hasNeverReceived(exchange))
      log.setFailure(BackendFailure.NotSent, 'the request was lost on its way to the peer');
    else log.setFailure(BackendFailure.Broken, PeerFault.NoEvents);
    asker.end(exchangeId, log);
    this.#schedulePrune();
    return log;
  }

  #getAsker({ id, incarnation }: EntryHostIdentity): AskerRecord {
    const asker = this.#askers.get(incarnation) ?? new AskerRecord(id, this.#options.clock);
    this.#askers.set(incarnation, asker);
    return asker;
  }

  /** A new process of the peer's host has taken the place of the former one. */
  #handleLinkUp(peer: EntryHostIdentity): void {
    this.#getAsker(peer);
    // The process is there, and tells which of its requests it goes on with.
    if (this.#cancelLossTimers(peer.incarnation))
      this.#startLossTimer(peer.incarnation, MAX_SUSPENSION_MS);
    const linked = this.#listLinked();
    this.#askers.forEach(({ hostId }, incarnation) => {
      if (hostId === peer.id && !linked.has(incarnation)) this.#cancelAll(incarnation);
    });
  }

  /** A peer that knows how to goes on with its requests over the next link. */
  #handleLinkDown({ peer: { incarnation, resumesExchanges }, wasSilent }: LinkEvent): void {
    const keptMs = wasSilent ? MAX_SUSPENSION_MS : MAX_CLOSED_RUN_MS;
    if (resumesExchanges === true) this.#startLossTimer(incarnation, keptMs);
    else this.#cancelAll(incarnation);
  }

  /** Requests that arrive over a later link are no concern of the timer. */
  #startLossTimer(incarnation: string, keptMs: number): void {
    const exchanges = this.#askers.get(incarnation)?.listRunning() ?? [];
    if (exchanges.length === 0) return;
    const timers = this.#lossTimers.get(incarnation) ?? new Set();
    this.#lossTimers.set(incarnation, timers);
    const timer = this.#options.clock.setTimer(keptMs, () => {
      timers.delete(timer);
      exchanges.forEach((exchange) => exchange.cancel());
    });
    timers.add(timer);
  }

  /** @returns whether any was set */
  #cancelLossTimers(incarnation: string): boolean {
    this.#lossTimers.get(incarnation)?.forEach((timer) => timer.cancel());
    return this.#lossTimers.delete(incarnation);
  }

  #cancelAll(incarnation: string): void {
    this.#cancelLossTimers(incarnation);
    this.#askers.get(incarnation)?.cancelOthers(new Set());
    this.#schedulePrune();
  }

  #schedulePrune(): void {
    this.#pruneTimer ??= this.#options.clock.setTimer(PRUNE_INTERVAL_MS, () => {
      this.#pruneTimer = undefined;
      this.#prune();
    });
  }

  #prune(): void {
    const linked = this.#listLinked();
    this.#askers.forEach((asker, incarnation) => {
      asker.prune();
      if (!asker.isEmpty) this.#schedulePrune();
      else if (!linked.has(incarnation)) this.#forget(incarnation);
    });
  }

  #forget(incarnation: string): void {
    this.#cancelLossTimers(incarnation);
    this.#askers.delete(incarnation);
  }

  #listLinked(): Set<string> {
    return new Set(this.#options.peers.listLinkedPeers().map(({ incarnation }) => incarnation));
  }
}
