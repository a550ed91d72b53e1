/**
 * Reads the input of one connection in slices.
 *
 * @module
 */
import type { Socket } from 'node:net';

/** Bytes of a connection that are parsed at once. */
const SLICE_BYTES = 512;

/** Callbacks of {@link GatedInput}. */
export interface GatedInputHandlers {
  /** Called when there is input, or its end, that may be read. */
  readonly onReadable: () => void;
  /** Called when the connection has closed, or is left to others. */
  readonly onEnded: () => void;
  /** Called when the connection is closed as too much input waits. */
  readonly onCut: () => void;
}

/**
 * Takes over from the HTTP server when its connection is read. A listener of 'readable' keeps the
 * socket from passing its input on by itself; each read then emits 'data' for the server's parser.
 */
export class GatedInput {
  readonly #socket: Socket;

  readonly #handlers: GatedInputHandlers;

  readonly #readableListener = (): void => this.#handlers.onReadable();

  /** Whether the server wants no input now, as answers or a body wait to be read. */
  #isHeld = false;

  #isBlocked = false;

  #isStopped = false;

  /**
   * @param socket - the connection, to whose input the server listens
   * @param handlers - callbacks
   */
  constructor(socket: Socket, handlers: GatedInputHandlers) {
    this.#socket = socket;
    this.#handlers = handlers;
    this.#overrideFlow();
    socket.on('readable', this.#readableListener);
    socket.once('close', handlers.onEnded);
  }

  /** Bytes that have been read from the connection and not parsed. */
  get heldBytes(): number {
    return this.#isOpen ? this.#socket.readableLength : 0;
  }

  /** Whether there are bytes that may be parsed. */
  get isReadable(): boolean {
    return !this.#isHeld && !this.#isBlocked && this.heldBytes > 0;
  }

  get #isOpen(): boolean {
    return !this.#isStopped && !this.#socket.destroyed;
  }

  /**
   * Parses the next bytes, or meets the end of the input.
   *
   * @returns number of bytes
   */
  readSlice(): number {
    if (!this.#isOpen || this.#isHeld || this.#isBlocked) return 0;
    const { readableLength } = this.#socket;
    if (readableLength === 0) {
      this.#socket.read();
      return 0;
    }
    const byteCount = Math.min(readableLength, SLICE_BYTES);
    this.#socket.read(byteCount);
    return byteCount;
  }

  /** Closes the connection, as too much input waits. */
  cut(): void {
    this.#handlers.onCut();
    this.#socket.destroy();
  }

  /** Parses no more of the input. */
  block(): void {
    this.#isBlocked = true;
  }

  /** Leaves the connection to others. */
  stop(): void {
    if (this.#isStopped) return;
    this.#isStopped = true;
    this.#socket.off('readable', this.#readableListener);
    this.#restoreFlow();
    this.#handlers.onEnded();
  }

  /** Learns when the server wants input; its own calls would have no effect beside 'readable'. */
  #overrideFlow(): void {
    const socket = this.#socket;
    socket.pause = () => {
      this.#isHeld = true;
      return socket;
    };
    socket.resume = () => {
      this.#isHeld = false;
      // Later, as the server goes on with the answer that made room.
      setImmediate(() => this.#handlers.onReadable());
      return socket;
    };
  }

  #restoreFlow(): void {
    Reflect.deleteProperty(this.#socket, 'pause');
    Reflect.deleteProperty(this.#socket, 'resume');
  }
}
