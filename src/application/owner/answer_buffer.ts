/**
 * Buffers the answer of one request at its owner.
 *
 * @module
 */
import { ErrorKind, RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import { Signal } from '../channels/mod.js';

/** Head of an answer: status and headers. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Whether the end of the body is marked; otherwise it ends with its connection. */
  readonly isFramed: boolean;
}

/** Position of one reader. */
interface Reader {
  readonly signal: Signal;
  offset: number;
}

/**
 * An append-only buffer that any number of readers can read from any offset that is
 * still buffered. Once the buffered bytes exceed `maxBytes`, chunks that every reader
 * has read are discarded.
 */
export class AnswerBuffer {
  readonly #maxBytes: number;

  readonly #readers = new Set<Reader>();

  readonly #headWaiters = new Set<Signal>();

  readonly #capacity = new Signal();

  #chunks: Uint8Array[] = [];

  /** Offset of the first buffered byte; bytes before it were discarded. */
  #firstOffset = 0;

  /** Offset after the last byte. */
  #endOffset = 0;

  #head: AnswerHead | undefined;

  #isComplete = false;

  #error: SchedulerError | undefined;

  /** @param maxBytes - buffered size above which chunks that all readers have are discarded */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** The head, once it has arrived. */
  get head(): AnswerHead | undefined {
    return this.#head;
  }

  /** Length of the body so far, in bytes, discarded bytes included. */
  get length(): number {
    return this.#endOffset;
  }

  /** Bytes of the body that are held in memory. */
  get bufferedBytes(): number {
    return this.#endOffset - this.#firstOffset;
  }

  /** Whether the answer is complete or has failed. */
  get isClosed(): boolean {
    return this.#isComplete || this.#error !== undefined;
  }

  /** @param head - the head; calls after the first are ignored */
  open(head: AnswerHead): void {
    this.#head ??= head;
    this.#notifyHead();
  }

  /** @param bytes - the next chunk of the body; ignored once the answer is closed */
  append(bytes: Uint8Array): void {
    if (this.isClosed || bytes.length === 0) return;
    this.#chunks.push(bytes);
    this.#endOffset += bytes.length;
    this.#discardReadChunks();
    this.#readers.forEach((reader) => reader.signal.notify());
  }

  /** Closes the answer. @param error - why it broke off; undefined if it is complete */
  close(error?: SchedulerError): void {
    if (this.isClosed) return;
    if (error) this.#error = error;
    else this.#isComplete = true;
    this.#notifyHead();
    this.#readers.forEach((reader) => reader.signal.notify());
    this.#capacity.close();
  }

  /** Discards all buffered bytes to free memory. Later reads of them are refused. */
  discard(): void {
    this.#chunks = [];
    this.#firstOffset = this.#endOffset;
  }

  /** @returns a promise that resolves when readers have caught up and more may be appended */
  async waitForCapacity(): Promise<void> {
    while (this.bufferedBytes > this.#maxBytes && this.#readers.size > 0 && !this.isClosed) {
      await this.#capacity.wait();
    }
  }

  /**
   * @returns the head, once it has arrived
   * @throws SchedulerError when the request is refused or fails before its head arrives
   */
  async waitForHead(): Promise<AnswerHead> {
    while (!this.#head && !this.isClosed) {
      const signal = new Signal();
      this.#headWaiters.add(signal);
      await signal.wait();
    }
    if (this.#head) return this.#head;
    throw this.#error ?? new SchedulerError(ErrorKind.Internal);
  }

  /**
   * Reads the body from an offset to its end, and waits for bytes that are not there yet.
   *
   * @param offset - number of bytes that the reader already has
   * @returns the rest of the body
   * @throws SchedulerError when the offset is no longer buffered, or the answer breaks off
   */
  async *read(offset: number): AsyncGenerator<Uint8Array> {
    const reader: Reader = { signal: new Signal(), offset };
    this.#readers.add(reader);
    try {
      for (;;) {
        const bytes = this.#getChunkFrom(reader.offset);
        if (bytes) {
          yield bytes;
          reader.offset += bytes.length;
          this.#discardReadChunks();
        } else if (this.#error) {
          throw this.#error;
        } else if (this.#isComplete) {
          return;
        } else {
          await reader.signal.wait();
        }
      }
    } finally {
      this.#readers.delete(reader);
      this.#discardReadChunks();
      this.#capacity.notify();
    }
  }

  #getChunkFrom(offset: number): Uint8Array | undefined {
    if (offset < this.#firstOffset || offset > this.#endOffset)
      throw this.#buildDiscardedError(offset);
    let chunkOffset = this.#firstOffset;
    for (const chunk of this.#chunks) {
      if (offset < chunkOffset + chunk.length) return chunk.subarray(offset - chunkOffset);
      chunkOffset += chunk.length;
    }
    return undefined;
  }

  #buildDiscardedError(offset: number): SchedulerError {
    return new SchedulerError(ErrorKind.AnswerNoLongerKept, {
      message: `Cannot read the answer from offset ${offset}: bytes ${this.#firstOffset} to ${this.#endOffset} are kept`,
      run: RunOutcome.Ran,
    });
  }

  #discardReadChunks(): void {
    if (this.bufferedBytes <= this.#maxBytes) return;
    const readers = [...this.#readers];
    const lowestOffset = Math.min(this.#endOffset, ...readers.map((reader) => reader.offset));
    let first = this.#chunks[0];
    while (
      first &&
      this.bufferedBytes > this.#maxBytes &&
      this.#firstOffset + first.length <= lowestOffset
    ) {
      this.#firstOffset += first.length;
      this.#chunks.shift();
      [first] = this.#chunks;
    }
    if (this.bufferedBytes <= this.#maxBytes) this.#capacity.notify();
  }

  #notifyHead(): void {
    this.#headWaiters.forEach((signal) => signal.close());
    this.#headWaiters.clear();
  }
}
