/**
 * Provides a link to a peer over one WebSocket, from the handshake to the close.
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

/** Maximum number of bytes that an end may send before it is authenticated. */
const MAX_HANDSHAKE_BYTES = 16_384;

/** Code by which the other end learns that a link was closed for its silence. */
const SILENT_CLOSE_CODE = 4_000;

/** Prefix of the error codes of the `ws` library for protocol violations by the other end. */
const WS_ERROR_CODE_PREFIX = 'WS_ERR_';

/** Cause of the end of a link. */
export enum LinkEndCause {
  /** The other end or the network closed the connection. */
  Closed = 'closed',
  /** The other end violated the protocol or has another cluster key. */
  Refused = 'refused',
  /** The link leads to this process itself. */
  OwnIncarnation = 'own_incarnation',
  /** No data was received for too long. */
  Silent = 'silent',
  /** The other end had not proved the cluster key when a newer link needed its place. */
  Unproven = 'unproven',
  /** The link was replaced on request. */
  Replaced = 'replaced',
  /** Neither end uses the link. */
  Unused = 'unused',
  /** This process closes its links. */
  Stopped = 'stopped',
}

/** Callbacks of a link. */
export interface PeerLinkHandlers {
  /** Called once the other end is authenticated. */
  readonly onAuthenticated: (link: PeerLink) => void;
  /** Called for each message after the handshake. */
  readonly onMessage: (link: PeerLink, frame: MessageFrame) => void;
  /** Called once; `reason` describes the cause in detail, or is empty. */
  readonly onEnd: (link: PeerLink, cause: LinkEndCause, reason: string) => void;
}

/** Options of {@link PeerLink}. */
export interface PeerLinkOptions extends PeerLinkHandlers {
  readonly webSocket: WebSocket;
  readonly handshake: HandshakeOptions;
  /** The URL that was dialled; undefined for an accepted link. */
  readonly dialledUrl: string | undefined;
  /** Returns the monotonic time in milliseconds. */
  readonly nowMs: () => number;
  /** Longest frame that the other end takes; a longer one would end the link. */
  readonly maxFrameBytes: number;
}

/** A link to a peer. Frames are validated before a callback receives them. */
export class PeerLink {
  /** The URL that was dialled; undefined for an accepted link. */
  readonly dialledUrl: string | undefined;

  /** Monotonic time at which the link was created, in milliseconds. */
  readonly createdAtMs: number;

  readonly #options: PeerLinkOptions;

  readonly #webSocket: WebSocket;

  readonly #handshake: Handshake;

  #peer: EntryHostIdentity | undefined;

  #receivedAtMs: number;

  #hasEnded = false;

  /** @param options - WebSocket, handshake, clock and callbacks of the link */
  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.#webSocket = options.webSocket;
    this.#handshake = new Handshake(options.handshake);
    this.dialledUrl = options.dialledUrl;
    this.createdAtMs = options.nowMs();
    this.#receivedAtMs = this.createdAtMs;
    this.#registerSocketHandlers();
  }

  /** Identity of the other end; undefined until it is authenticated. */
  get peer(): EntryHostIdentity | undefined {
    return this.#peer;
  }

  /** Monotonic time at which data was last received, in milliseconds. */
  get receivedAtMs(): number {
    return this.#receivedAtMs;
  }

  /** Number of bytes that are buffered for sending. */
  get bufferedBytes(): number {
    return this.#webSocket.bufferedAmount;
  }

  /** Records the current time as the last time at which data was received. */
  recordReceived(): void {
    this.#receivedAtMs = this.#options.nowMs();
  }

  /**
   * Sends the challenge of this end. Must be called once the WebSocket is open.
   *
   * @param socket - the TCP connection of the WebSocket
   */
  start(socket: Socket): void {
    this.#limitHandshakeBytes(socket);
    this.#sendFrame(this.#handshake.buildChallenge());
  }

  /**
   * Sends a message, unless it is too long for the other end.
   *
   * @param sequence - sequence number of the message
   * @param message - the message
   * @returns false for a message that is too long
   */
  send(sequence: number, message: PeerMessage): boolean {
    return this.#sendFrame({ kind: FrameKind.Message, sequence, message });
  }

  /** Sends a WebSocket ping, which the other end answers with a pong. */
  sendPing(): void {
    if (this.#webSocket.readyState === this.#webSocket.OPEN) this.#webSocket.ping();
  }

  /** Ends the link immediately, without a closing handshake. */
  end(cause: LinkEndCause, reason = ''): void {
    this.#reportEnd(cause, reason);
    const isOpen = this.#webSocket.readyState === this.#webSocket.OPEN;
    if (isOpen && cause === LinkEndCause.Silent) this.#webSocket.close(SILENT_CLOSE_CODE);
    this.#webSocket.terminate();
  }

  /** Closes the link after all buffered data is sent; resolves once it is closed. */
  close(): Promise<void> {
    if (this.#webSocket.readyState === this.#webSocket.CLOSED) return Promise.resolve();
    return new Promise((resolve) => {
      this.#webSocket.once('close', () => resolve());
      this.#reportEnd(LinkEndCause.Stopped, '');
      this.#webSocket.close();
    });
  }

  /** Destroys the socket unless it is closed already. */
  terminate(): void {
    this.#webSocket.terminate();
  }

  /**
   * Limits the bytes that an unauthenticated end may send. The limit of the `ws` library is the
   * size of the largest message, so unauthenticated connections could exhaust the memory.
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
    webSocket.on('close', (code) => {
      const cause = code === SILENT_CLOSE_CODE ? LinkEndCause.Silent : LinkEndCause.Closed;
      this.#reportEnd(cause, 'connection closed');
    });
  }

  /** The `ws` library emits `error` for malformed or oversized frames and for lost connections. */
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

  #sendFrame(frame: Frame): boolean {
    if (this.#webSocket.readyState !== this.#webSocket.OPEN) return true;
    const bytes = encodeFrame(frame);
    if (bytes.length > this.#options.maxFrameBytes) return false;
    this.#webSocket.send(bytes);
    return true;
  }
}
