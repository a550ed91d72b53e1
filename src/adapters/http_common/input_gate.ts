/**
 * Spreads the input of connections over turns of the event loop.
 *
 * @module
 */
import type { Socket } from 'node:net';
import { ByteBudget } from '../../domain/memory/mod.js';
import { GatedInput } from './_gated_input.js';

/**
 * Bytes that are parsed as soon as they arrive, in one turn of the event loop. A server accepts one
 * connection a turn, so that long turns keep new callers out.
 */
const FRESH_BYTES_PER_TURN = 8_192;

/** Bytes of connections that wait which are parsed in one turn of the event loop. */
const WAITING_BYTES_PER_TURN = 4_096;

/**
 * Bytes by which a request counts beside its own. Requests without a body may be so short that a slice
 * holds dozens, each of which takes as long as many bytes of a body.
 */
const REQUEST_WEIGHT_BYTES = 1_024;

/** Bytes that may wait in sum if no limit is given. */
const DEFAULT_WAITING_BYTES = 16_777_216;

/** Options of {@link InputGate}. */
export interface InputGateOptions {
  /** Counts the bytes of all connections that have been read and not parsed. Default: 16 MiB. */
  readonly budget?: ByteBudget;
  /**
   * Called with the length of each slice that is parsed.
   *
   * @param bytes - length of the slice
   */
  readonly onParsed?: (bytes: number) => void;
}

/**
 * Passes the input of connections on to their parser in slices. A parser creates all requests and
 * all parts of bodies of a read at once, and the event loop reads all connections before it does
 * anything else: a few clients with small requests or chunks would fill the memory or take all
 * processor time before any of them could be refused. A connection with little input is served at
 * once, one with more takes turns with the others.
 */
export class InputGate {
  readonly #options: InputGateOptions;

  readonly #budget: ByteBudget;

  readonly #inputs = new WeakMap<Socket, GatedInput>();

  /** Connections with input that may be parsed; the one that has waited for longest first. */
  readonly #waiting = new Set<GatedInput>();

  /** Bytes that have been read and not parsed, by connection, in the order of their first record. */
  readonly #heldBytes = new Map<GatedInput, number>();

  #freshBytesLeft = FRESH_BYTES_PER_TURN;

  #isTurnScheduled = false;

  /** Requests in the slice that is being parsed. */
  #sliceRequests = 0;

  /** @param options - limit on input that waits */
  constructor(options: InputGateOptions = {}) {
    this.#options = options;
    this.#budget = options.budget ?? new ByteBudget(DEFAULT_WAITING_BYTES);
  }

  /** Most bytes of all connections that may have been read and not parsed. */
  get maxWaitingBytes(): number {
    return this.#budget.maxBytes;
  }

  /**
   * Takes a connection in.
   *
   * @param socket - new connection of an HTTP server, once the server listens to its input
   * @param onCut - called when the connection is closed as too much input waits
   */
  add(socket: Socket, onCut: () => void = () => undefined): void {
    const input: GatedInput = new GatedInput(socket, {
      onReadable: () => this.#offer(input),
      onEnded: () => this.#remove(input),
      onCut,
    });
    this.#inputs.set(socket, input);
  }

  /** Counts a request, which takes time of the present turn. Called as soon as its head was parsed. */
  recordRequest(): void {
    this.#sliceRequests += 1;
  }

  /** @param socket - connection whose input can't be parsed any more */
  block(socket: Socket): void {
    this.#inputs.get(socket)?.block();
  }

  /** @param socket - connection whose input is not HTTP from now on */
  remove(socket: Socket): void {
    this.#inputs.get(socket)?.stop();
  }

  /** Parses the first input of a connection at once, within the limit of the present turn. */
  #offer(input: GatedInput): void {
    if (!this.#waiting.has(input) && this.#freshBytesLeft > 0) {
      this.#freshBytesLeft -= this.#parse(input);
      this.#scheduleTurn();
    }
    this.#record(input);
  }

  /** Parses a slice. Returns what it counts against the limit of a turn, in bytes. */
  #parse(input: GatedInput): number {
    this.#sliceRequests = 0;
    const bytes = input.readSlice();
    if (bytes > 0) this.#options.onParsed?.(bytes);
    return bytes + this.#sliceRequests * REQUEST_WEIGHT_BYTES;
  }

  #runTurn(): void {
    let bytesLeft = WAITING_BYTES_PER_TURN;
    for (const input of this.#waiting) {
      if (bytesLeft <= 0) break;
      this.#waiting.delete(input);
      bytesLeft -= this.#parse(input);
      // Appended behind the others, which this loop then meets again.
      this.#record(input);
    }
    this.#freshBytesLeft = FRESH_BYTES_PER_TURN;
    if (this.#waiting.size > 0) this.#scheduleTurn();
  }

  #scheduleTurn(): void {
    if (this.#isTurnScheduled) return;
    this.#isTurnScheduled = true;
    setImmediate(() => {
      this.#isTurnScheduled = false;
      this.#runTurn();
    });
  }

  /** Records what a connection holds, and lets it take turns if that may be parsed. */
  #record(input: GatedInput): void {
    const bytes = input.heldBytes;
    this.#budget.add(bytes - (this.#heldBytes.get(input) ?? 0));
    if (bytes > 0) this.#heldBytes.set(input, bytes);
    else this.#heldBytes.delete(input);
    if (input.isReadable) this.#waiting.add(input);
    else this.#waiting.delete(input);
    if (this.#waiting.size > 0) this.#scheduleTurn();
    if (this.#budget.isExceeded) this.#closeLargest();
  }

  /** Closes the connection that holds most; among equal ones, that which has done so for longest. */
  #closeLargest(): void {
    let largest: GatedInput | undefined;
    let largestBytes = 0;
    this.#heldBytes.forEach((bytes, input) => {
      if (bytes <= largestBytes) return;
      largest = input;
      largestBytes = bytes;
    });
    if (!largest) return;
    this.#remove(largest);
    largest.cut();
  }

  #remove(input: GatedInput): void {
    this.#budget.release(this.#heldBytes.get(input) ?? 0);
    this.#heldBytes.delete(input);
    this.#waiting.delete(input);
  }
}
