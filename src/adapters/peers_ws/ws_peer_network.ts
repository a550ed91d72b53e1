/**
 * Implements the `PeerNetwork` port over WebSockets.
 *
 * @module
 */
import type { Socket } from 'node:net';
import { WebSocket } from 'ws';
import type { EntryHostIdentity } from '../../domain/membership/types.js';
import { LogLevel } from '../../domain/errors/mod.js';
import { PeerNetwork } from '../../ports/mod.js';
import type {
  LinkEvent,
  PeerMessage,
  PeerMessageHandler,
  PeerMessageType,
} from '../../ports/mod.js';
import { Dialer } from './_dialer.js';
import { NONCE_BYTES } from './_frames.js';
import type { MessageFrame } from './_frames.js';
import { LinkRole } from './_handshake.js';
import { logLinkEnd } from './_link_log.js';
import { LinkMonitor } from './_link_monitor.js';
import { LinkTable } from './_link_table.js';
import { LinkEndCause, PeerLink } from './_peer_link.js';
import { PeerListener } from './_peer_listener.js';
import { SentMessageCheck } from './_sent_message_check.js';
import { endOldestUnproven } from './_unproven_links.js';
import { resolveOptions } from './ws_peer_network_options.js';
import type { WsPeerNetworkOptions } from './ws_peer_network_options.js';

type AnyHandler = (from: EntryHostIdentity, message: PeerMessage) => void;

/**
 * Maintains one link to each address: an address is dialled unless a link to it exists, whichever
 * end established that link. When both ends dial at the same time, both links stay; each end sends
 * on its oldest link, and sequence numbers preserve the order of messages.
 *
 * The handshake proves that both ends have the cluster key. Later messages are neither encrypted
 * nor signed, so the listener for peers must be on a private network.
 */
export class WsPeerNetwork extends PeerNetwork {
  readonly #options: Required<WsPeerNetworkOptions>;

  readonly #listener: PeerListener;

  readonly #dialer: Dialer;

  readonly #linkMonitor: LinkMonitor;

  readonly #linkTable = new LinkTable();

  /** All links, including those in their handshake. */
  readonly #links = new Set<PeerLink>();

  readonly #handlers = new Map<PeerMessageType, AnyHandler>();

  readonly #linkHandlers: ((event: LinkEvent) => void)[] = [];

  #identity: EntryHostIdentity;

  #lastSequence = 0;

  readonly #sentCheck = new SentMessageCheck();

  #isClosed = false;

  /**
   * @param options - identity, listening address, key and limits
   * @throws RangeError when the cluster key is too short
   */
  constructor(options: WsPeerNetworkOptions) {
    super();
    this.#options = resolveOptions(options);
    this.#identity = options.self;
    this.#listener = new PeerListener({
      host: options.listenHost,
      port: options.listenPort,
      log: this.#options.log,
      maxMessageBytes: this.#options.maxMessageBytes,
      maxUnauthenticatedLinks: this.#options.maxUnauthenticatedLinks,
      gate: this.#options.gate,
      onClosed: () => this.#options.metrics.count('peer_connections_closed_total'),
      onSocket: (webSocket, socket) => this.#acceptSocket(webSocket, socket),
      onError: (error) => this.#log(LogLevel.Error, 'peer_listener_failed', error.message),
    });
    this.#dialer = new Dialer({
      ...this.#options,
      hasLink: (url) => this.#hasLink(url),
      open: (url) => this.#openLink(url),
    });
    this.#linkMonitor = new LinkMonitor({ ...this.#options, listLinks: () => [...this.#links] });
  }

  /** Identity of this entry host; its `peerUrl` has the actual port after the start. */
  get identity(): EntryHostIdentity {
    return this.#identity;
  }

  /**
   * Starts the listener and the monitoring of the links.
   *
   * @returns the listening port
   * @throws Error when the listener can't be started
   */
  async start(): Promise<{ port: number }> {
    const port = await this.#listener.start();
    const { peerUrl } = this.#identity;
    this.#identity = { ...this.#identity, peerUrl: peerUrl.replace(/:0(?=\/|$)/, `:${port}`) };
    this.#linkMonitor.start();
    return { port };
  }

  override setPeerUrls(peerUrls: readonly string[]): void {
    if (this.#isClosed) return;
    this.#dialer.setAddresses(peerUrls.filter((url) => url !== this.#identity.peerUrl));
  }

  override send(incarnation: string, message: PeerMessage): boolean {
    const link = this.#linkTable.findLink(incarnation);
    if (!link || !this.#maySend(link, message)) return false;
    this.#lastSequence += 1;
    if (!link.send(this.#lastSequence, message)) {
      this.#log(LogLevel.Error, 'peer_message_too_long', undefined, { type: message.type });
      return this.#refuseSend('too_long');
    }
    this.#options.metrics.count('peer_messages_sent_total', { type: message.type });
    return true;
  }

  override handle<T extends PeerMessageType>(type: T, handler: PeerMessageHandler<T>): void {
    if (this.#handlers.has(type)) throw new Error(`Cannot handle "${type}" twice`);
    this.#handlers.set(type, handler as AnyHandler);
  }

  override onLinkChange(handler: (event: LinkEvent) => void): void {
    this.#linkHandlers.push(handler);
  }

  override listLinkedPeers(): readonly EntryHostIdentity[] {
    return this.#linkTable.listIdentities();
  }

  override replaceLink(incarnation: string): void {
    const links = this.#linkTable.listLinks(incarnation);
    const urls = links.flatMap(({ dialledUrl, peer }) => [dialledUrl, peer?.peerUrl]);
    links.forEach((link) => link.end(LinkEndCause.Replaced));
    new Set(urls).forEach((url) => {
      if (url !== undefined) this.#dialer.dialNow(url);
    });
  }

  override dropLink(incarnation: string): void {
    this.#linkTable.listLinks(incarnation).forEach((link) => link.end(LinkEndCause.Unused));
  }

  override async close(): Promise<void> {
    this.#isClosed = true;
    this.#linkMonitor.stop();
    this.#dialer.stop();
    const links = [...this.#links];
    const timer = this.#options.clock.setTimer(this.#options.closeTimeoutMs, () => {
      links.forEach((link) => link.terminate());
    });
    await Promise.all(
      links.map((link) => (link.peer ? link.close() : link.end(LinkEndCause.Stopped))),
    );
    timer.cancel();
    await this.#listener.close();
  }

  /**
   * Returns false for a full buffer and for a malformed message, which is a fault of this process.
   * The receiver would close the link because of it, and the next link after it as well; all links
   * of the deployment would repeatedly go down and up.
   */
  #maySend(link: PeerLink, message: PeerMessage): boolean {
    if (link.bufferedBytes > this.#options.maxBufferedBytes) return this.#refuseSend('buffer_full');
    try {
      this.#sentCheck.check(message);
      return true;
    } catch (error) {
      this.#log(LogLevel.Error, 'peer_message_malformed', String(error));
      return this.#refuseSend('malformed');
    }
  }

  #refuseSend(reason: string): false {
    this.#options.metrics.count('peer_sends_refused_total', { reason });
    return false;
  }

  #hasLink(url: string): boolean {
    return this.#linkTable.hasUrl(url) || [...this.#links].some((link) => link.dialledUrl === url);
  }

  #acceptSocket(webSocket: WebSocket, socket: Socket): void {
    if (this.#isClosed) {
      webSocket.on('error', () => undefined);
      webSocket.terminate();
      return;
    }
    if (endOldestUnproven(this.#links, this.#options.maxUnauthenticatedLinks))
      this.#options.metrics.count('peer_links_refused_total', { reason: 'too_many' });
    const link = this.#addLink(webSocket, undefined, () => this.#listener.recordProof(socket));
    link.start(socket);
  }

  #openLink(url: string): void {
    try {
      const webSocket = new WebSocket(url, {
        maxPayload: this.#options.maxMessageBytes,
        perMessageDeflate: false,
        followRedirects: false,
      });
      const link = this.#addLink(webSocket, url);
      // A data listener on the socket before that of the library would consume the first bytes.
      webSocket.once('upgrade', ({ socket }) => {
        webSocket.once('open', () => link.start(socket));
      });
    } catch (error) {
      this.#log(LogLevel.Error, 'peer_url_refused', String(error), { peerUrl: url });
    }
  }

  #addLink(
    webSocket: WebSocket,
    dialledUrl: string | undefined,
    onProved: () => void = () => undefined,
  ): PeerLink {
    const link: PeerLink = new PeerLink({
      webSocket,
      dialledUrl,
      nowMs: () => this.#options.clock.nowMs(),
      maxFrameBytes: this.#options.maxMessageBytes,
      handshake: {
        role: dialledUrl === undefined ? LinkRole.Listener : LinkRole.Dialer,
        self: this.#identity,
        clusterKey: this.#options.clusterKey,
        nonce: this.#options.random.nextBytes(NONCE_BYTES),
      },
      onAuthenticated: () => {
        onProved();
        this.#handleAuthenticated(link);
      },
      onMessage: (_link, frame) => this.#handleMessage(link, frame),
      onEnd: (_link, end, reason) => this.#handleEnd(link, end, reason),
    });
    this.#links.add(link);
    return link;
  }

  #handleAuthenticated(link: PeerLink): void {
    const { peer } = link;
    if (!peer || !this.#linkTable.add(peer, link)) return;
    this.#log(LogLevel.Info, 'peer_link_up', undefined, {
      entryHost: peer.id,
      incarnation: peer.incarnation,
    });
    this.#notifyLink({ peer, up: true });
  }

  #handleMessage({ peer }: PeerLink, { sequence, message }: MessageFrame): void {
    if (!peer || !this.#linkTable.acceptSequence(peer.incarnation, sequence)) {
      this.#options.metrics.count('peer_messages_overtaken_total');
      return;
    }
    const { type } = message;
    this.#options.metrics.count('peer_messages_received_total', { type });
    try {
      this.#options.runHandler(type, () => this.#handlers.get(type)?.(peer, message));
    } catch (error) {
      // The link stays up when a handler fails, since it carries the messages of all handlers.
      this.#log(LogLevel.Error, 'peer_message_handler_failed', String(error), { type });
    }
  }

  #handleEnd(link: PeerLink, cause: LinkEndCause, reason: string): void {
    this.#links.delete(link);
    const { peer, dialledUrl } = link;
    logLinkEnd(this.#options, link, cause, reason);
    if (cause === LinkEndCause.OwnIncarnation && dialledUrl !== undefined) {
      this.#dialer.addOwnUrl(dialledUrl);
    }
    const wasLastLink = peer !== undefined && this.#linkTable.remove(peer.incarnation, link);
    const lifetimeMs = this.#options.clock.nowMs() - link.createdAtMs;
    new Set([dialledUrl, peer?.peerUrl]).forEach((url) => {
      if (url !== undefined) this.#dialer.scheduleRedial(url, lifetimeMs);
    });
    const wasSilent = cause === LinkEndCause.Silent || cause === LinkEndCause.Replaced;
    if (peer && wasLastLink) this.#notifyLink({ peer, up: false, wasSilent });
  }

  #notifyLink(event: LinkEvent): void {
    this.#linkHandlers.forEach((handler) => handler(event));
  }

  #log(level: LogLevel, event: string, reason?: string, fields = {}): void {
    this.#options.log.write(level, event, { ...fields, reason });
  }
}
