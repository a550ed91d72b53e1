/**
 * Bounds the bytes and the time that a connection spends on anything but the body of an answer.
 *
 * @module
 */
import type { Socket } from 'node:net';
import { HeadScanner } from './_head_scanner.js';

/**
 * Bytes that an answer may take beside its body: several heads of the largest size that Node
 * parses, and at least the first read of a socket, whose body is reported later than its bytes.
 */
const MAX_OVERHEAD_BYTES = 131_072;

/** Bytes that each byte of a body may take in addition; a chunk of one byte takes six. */
const MAX_OVERHEAD_FACTOR = 16;

/**
 * Longest time from the first byte of a head to its last one, in milliseconds. A lost packet is
 * sent again within less.
 */
const HEAD_TIMEOUT_MS = 1_000;

/** Longest time in which an unused body is read so that its connection can be reused. */
const DISCARD_TIMEOUT_MS = 1_000;

/** End of the last header and the empty line that ends a head. */
const EMPTY_LINE = '\r\n\r\n';

/**
 * Watches a connection from a request to the end of its answer. The parser limits a head and a
 * trailer, but neither empty lines, spaces, informational answers nor leading zeros of a chunk
 * size, and no time at all. It takes a head for whole whose last byte is any other one.
 */
export class FramingGuard {
  readonly #socket: Socket;

  readonly #onExceeded: (reason: string) => void;

  readonly #dataListener = (bytes: Buffer): void => this.#recordBytes(bytes);

  /** Bytes received, less those that the body allows for. */
  #overheadBytes = 0;

  #isHeadComplete = false;

  /** Reads the present head; undefined behind that of the final answer. */
  #head: HeadScanner | undefined = new HeadScanner();

  /** Informational answers whose heads were not read here yet. */
  #informationCount = 0;

  /** Whether the bytes that are counted next have completed an informational answer. */
  #isAfterInformation = false;

  #timer: NodeJS.Timeout | undefined;

  /**
   * @param socket - the connection, whose bytes Node parses before this guard counts them
   * @param onExceeded - called with the reason when the connection must be closed
   */
  constructor(socket: Socket, onExceeded: (reason: string) => void) {
    this.#socket = socket;
    this.#onExceeded = onExceeded;
    socket.on('data', this.#dataListener);
  }

  /** Records a complete informational answer; the final one may take its time. */
  recordInformation(): void {
    this.#isAfterInformation = true;
    this.#informationCount += 1;
    this.#stopTimer();
  }

  /** Records the complete head of the final answer. */
  recordHead(): void {
    this.#isHeadComplete = true;
    this.#stopTimer();
  }

  /** @param byteCount - bytes of the body that have arrived */
  recordBody(byteCount: number): void {
    this.#overheadBytes -= byteCount * MAX_OVERHEAD_FACTOR;
  }

  /** Limits the time of a body that nobody uses. */
  startDiscarding(): void {
    this.#startTimer(DISCARD_TIMEOUT_MS, 'unused body is not complete in time');
  }

  /** Stops watching; the connection may be reused. */
  stop(): void {
    this.#socket.off('data', this.#dataListener);
    this.#stopTimer();
  }

  #recordBytes(bytes: Buffer): void {
    this.#overheadBytes += bytes.length;
    this.#readHeads(bytes);
    const hasBegunHead = !this.#isAfterInformation || !endsWithEmptyLine(bytes);
    if (this.#overheadBytes > MAX_OVERHEAD_BYTES)
      this.#onExceeded(`more than ${MAX_OVERHEAD_BYTES} bytes beside the body of the answer`);
    else if (!this.#isHeadComplete && !this.#timer && hasBegunHead)
      this.#startTimer(HEAD_TIMEOUT_MS, `head not complete within ${HEAD_TIMEOUT_MS} ms`);
    this.#isAfterInformation = false;
  }

  #readHeads(bytes: Buffer): void {
    let index = 0;
    while (this.#head && index < bytes.length) {
      index = this.#head.read(bytes, index);
      if (this.#head.isMalformed) {
        this.#head = undefined;
        this.#onExceeded('a line of the head does not end with a line feed');
      } else if (this.#head.hasEnded) {
        this.#head = this.#informationCount > 0 ? new HeadScanner() : undefined;
        this.#informationCount -= 1;
      }
    }
  }

  #startTimer(timeoutMs: number, reason: string): void {
    this.#stopTimer();
    const timer = setTimeout(() => {
      // A process that was short of time reads what has arrived before the timer decides.
      setImmediate(() => {
        if (this.#timer === timer) this.#onExceeded(reason);
      });
    }, timeoutMs);
    this.#timer = timer;
  }

  #stopTimer(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }
}

/** Whether the bytes end with a head; the empty line may have come in several parts. */
function endsWithEmptyLine(bytes: Buffer): boolean {
  return EMPTY_LINE.endsWith(bytes.subarray(-EMPTY_LINE.length).toString('latin1'));
}
