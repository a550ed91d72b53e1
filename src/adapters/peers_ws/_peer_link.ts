/**
 * One web socket to a peer, from its handshake to its end.
 *
 * @module
 */
import type { Socket } from 'node:net';
import type { RawData, WebSocket } from 'ws';
import { formatReason } from '../../domain/errors/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/types.js';
import type { PeerMessage } from '../../ports/mod.js';
import { decodeFrame, encodeFrame, FrameKind } from './_frames.js';
import type { Frame, MessageFrame } from './_frames.js';
import { Handshake } from './_handshake.js';
import type { HandshakeOptions } from './_handshake.js';

/** Most bytes that an end may send before it has proved that it has the key. */
const MAX_HANDSHAKE_BYTES = 16_384;

/** Start of the error codes with which the library names faults of the other end. */
const WS_ERROR_CODE_PREFIX = 'WS_ERR_';

/** Why a link ended. */
export enum LinkEndCause {
  /** The other end, or the network, closed it. */
  Closed = 'closed',
  /** The other end broke the protocol or has another key. */
  Refused = 'refused',
  /** It leads to this very process. */
  OwnIncarnation = 'own_incarnation',
  /** Nothing came for too long. */
  Silent = 'silent',
  /** It was replaced on request. */
  Replaced = 'replaced',
  /** Neither end uses it. */
  Unused = 'unused',
  /** This process closes. */
  Stopped = 'stopped',
}

/** What a link calls. */
export interface PeerLinkHandlers {
  /** The other end has proved who it is. */
  readonly onAuthenticated: (link: PeerLink) => void;
  readonly onMessage: (link: PeerLink, frame: MessageFrame) => void;
  /** Called once; `reason` says what was wrong where something was. */
  readonly onEnd: (link: PeerLink, end: LinkEndCause, reason: string) => void;
}

/** What a link needs. */
export interface PeerLinkOptions extends PeerLinkHandlers {
  readonly webSocket: WebSocket;
  readonly handshake: HandshakeOptions;
  /** The URL that was dialled; undefined for an accepted link. */
  readonly dialledUrl: string | undefined;
  readonly nowMs: () => number;
}

/** A link; frames are checked before anybody sees them. */
export class PeerLink {
  /** The URL that was dialled; undefined for an accepted link. */
  readonly dialledUrl: string | undefined;

  /** When it was begun, in milliseconds. */
  readonly createdAtMs: number;

  readonly #options: PeerLinkOptions;

  readonly #webSocket: WebSocket;

  readonly #handshake: Handshake;

  #peer: EntryHostIdentity | undefined;

  #receivedAtMs: number;

  #hasEnded = false;

  /** @param options - what the link needs */
  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.#webSocket = options.webSocket;
    this.#handshake = new Handshake(options.handshake);
    this.dialledUrl = options.dialledUrl;
    this.createdAtMs = options.nowMs();
    this.#receivedAtMs = this.createdAtMs;
    this.#registerSocketHandlers();
  }

  /** Who is at the other end; undefined until it has proved it. */
  get peer(): EntryHostIdentity | undefined {
    return this.#peer;
  }

  /** When anything last came, in milliseconds. */
  get receivedAtMs(): number {
    return this.#receivedAtMs;
  }

  /** Bytes that wait to be sent. */
  get bufferedBytes(): number {
    return this.#webSocket.bufferedAmount;
  }

  /** Takes it that something came now. */
  recordReceived(): void {
    this.#receivedAtMs = this.#options.nowMs();
  }

  /**
   * Sends this end's challenge; to be called once the web socket is open.
   *
   * @param socket - the TCP connection under it
   */
  start(socket: Socket): void {
    this.#limitHandshakeBytes(socket);
    this.#sendFrame(this.#handshake.buildChallenge());
  }

  /** @param sequence - the message's number. @param message - what to send */
  send(sequence: number, message: PeerMessage): void {
    this.#sendFrame({ kind: FrameKind.Message, sequence, message });
  }

  /** Asks the other end's library for a sign of life. */
  sendPing(): void {
    if (this.#webSocket.readyState === this.#webSocket.OPEN) this.#webSocket.ping();
  }

  /** Ends it at once, without waiting for the other end. */
  end(cause: LinkEndCause, reason = ''): void {
    this.#reportEnd(cause, reason);
    this.#webSocket.terminate();
  }

  /** Closes it after what was sent; resolves when it is closed. */
  close(): Promise<void> {
    if (this.#webSocket.readyState === this.#webSocket.CLOSED) return Promise.resolve();
    return new Promise((resolve) => {
      this.#webSocket.once('close', () => resolve());
      this.#reportEnd(LinkEndCause.Stopped, '');
      this.#webSocket.close();
    });
  }

  /** Cuts the socket, if it still isn't closed. */
  terminate(): void {
    this.#webSocket.terminate();
  }

  /**
   * Bounds what an end may send before it has the right to. The library's own
   * limit is that of the largest message, so strangers could fill the memory.
   */
  #limitHandshakeBytes(socket: Socket): void {
    const checkByteCount = (): void => {
      if (this.#peer || this.#hasEnded) socket.off('data', checkByteCount);
      else if (socket.bytesRead > MAX_HANDSHAKE_BYTES) {
        this.end(
          LinkEndCause.Refused,
          `more than ${MAX_HANDSHAKE_BYTES} bytes before the handshake`,
        );
      }
    };
    socket.on('data', checkByteCount);
  }

  #registerSocketHandlers(): void {
    const webSocket = this.#webSocket;
    webSocket.on('message', (data, isBinary) => this.#handleData(data, isBinary));
    webSocket.on('ping', () => this.recordReceived());
    webSocket.on('pong', () => this.recordReceived());
    webSocket.on('error', (error) => this.#handleError(error));
    webSocket.on('close', () => this.#reportEnd(LinkEndCause.Closed, 'closed by the other end'));
  }

  /** The library reports an oversized or malformed frame like a reset connection. */
  #handleError(error: Error & { code?: string }): void {
    const isProtocolFault = error.code?.startsWith(WS_ERROR_CODE_PREFIX) === true;
    this.end(isProtocolFault ? LinkEndCause.Refused : LinkEndCause.Closed, error.message);
  }

  #handleData(data: RawData, isBinary: boolean): void {
    if (this.#hasEnded) return;
    this.recordReceived();
    try {
      if (!isBinary || !Buffer.isBuffer(data)) throw new Error('Cannot decode frame: not binary');
      this.#handleFrame(decodeFrame(data));
    } catch (error) {
      this.end(LinkEndCause.Refused, formatReason(error));
    }
  }

  #handleFrame(frame: Frame): void {
    if (this.#peer) {
      if (frame.kind !== FrameKind.Message) throw new Error('Cannot accept a second handshake');
      this.#options.onMessage(this, frame);
    } else if (frame.kind === FrameKind.Challenge) {
      this.#sendFrame(this.#handshake.acceptChallenge(frame));
    } else if (frame.kind === FrameKind.Hello) {
      this.#handleAuthenticated(this.#handshake.acceptHello(frame));
    } else {
      throw new Error('Cannot accept a message before the handshake');
    }
  }

  #handleAuthenticated(peer: EntryHostIdentity): void {
    if (peer.incarnation === this.#options.handshake.self.incarnation) {
      this.end(LinkEndCause.OwnIncarnation, 'the link leads to this process');
      return;
    }
    this.#peer = peer;
    this.#options.onAuthenticated(this);
  }

  #reportEnd(cause: LinkEndCause, reason: string): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#options.onEnd(this, cause, reason);
  }

  #sendFrame(frame: Frame): void {
    if (this.#webSocket.readyState !== this.#webSocket.OPEN) return;
    this.#webSocket.send(encodeFrame(frame));
  }
}
