/**
 * One answer as the owner keeps it.
 *
 * @module
 */
import { ErrorKind, RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import { Signal } from '../channels/mod.js';

/** Head of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** One reader's place. */
interface Reader {
  readonly signal: Signal;
  offset: number;
}

/**
 * An answer that grows at its end and can be read from any offset that is
 * still kept, by any number of readers. Bytes that every reader has are given
 * up once the answer is longer than `maxBytes`.
 */
export class KeptAnswer {
  readonly #maxBytes: number;

  readonly #readers = new Set<Reader>();

  readonly #headWaiters = new Set<Signal>();

  readonly #room = new Signal();

  #chunks: Uint8Array[] = [];

  #firstOffset = 0;

  #endOffset = 0;

  #head: AnswerHead | undefined;

  #isWhole = false;

  #error: SchedulerError | undefined;

  /** @param maxBytes - bytes that are kept at least; beyond, only what a reader lacks */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Its head, once it is there. */
  get head(): AnswerHead | undefined {
    return this.#head;
  }

  /** Length so far, in bytes. */
  get length(): number {
    return this.#endOffset;
  }

  /** Bytes that it holds in memory. */
  get keptBytes(): number {
    return this.#endOffset - this.#firstOffset;
  }

  /** Whether nothing more will come. */
  get isClosed(): boolean {
    return this.#isWhole || this.#error !== undefined;
  }

  /** @param head - the answer's head; only the first is taken */
  open(head: AnswerHead): void {
    this.#head ??= head;
    this.#notifyHead();
  }

  /** @param bytes - the next part of the body */
  append(bytes: Uint8Array): void {
    if (this.isClosed || bytes.length === 0) return;
    this.#chunks.push(bytes);
    this.#endOffset += bytes.length;
    this.#dropRead();
    this.#readers.forEach((reader) => reader.signal.notify());
  }

  /** Ends it: it is whole, or broke off. @param error - why it broke off */
  close(error?: SchedulerError): void {
    if (this.isClosed) return;
    if (error) this.#error = error;
    else this.#isWhole = true;
    this.#notifyHead();
    this.#readers.forEach((reader) => reader.signal.notify());
    this.#room.close();
  }

  /** Gives up what it holds, to make room. Later reads of it are refused. */
  drop(): void {
    this.#chunks = [];
    this.#firstOffset = this.#endOffset;
  }

  /** @returns when readers have caught up enough for more bytes */
  async waitForRoom(): Promise<void> {
    while (this.keptBytes > this.#maxBytes && this.#readers.size > 0 && !this.isClosed) {
      await this.#room.wait();
    }
  }

  /**
   * @returns the head, once it is there
   * @throws SchedulerError when the request was refused or failed before it
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
   * Reads the body from an offset to its end, waiting for what is still to come.
   *
   * @param offset - bytes that the reader has already
   * @returns the rest
   * @throws SchedulerError when the offset is no longer kept, or the answer breaks off
   */
  async *read(offset: number): AsyncGenerator<Uint8Array> {
    const reader: Reader = { signal: new Signal(), offset };
    this.#readers.add(reader);
    try {
      for (;;) {
        const bytes = this.#getFrom(reader.offset);
        if (bytes) {
          yield bytes;
          reader.offset += bytes.length;
          this.#dropRead();
        } else if (this.#error) {
          throw this.#error;
        } else if (this.#isWhole) {
          return;
        } else {
          await reader.signal.wait();
        }
      }
    } finally {
      this.#readers.delete(reader);
      this.#dropRead();
      this.#room.notify();
    }
  }

  #getFrom(offset: number): Uint8Array | undefined {
    if (offset < this.#firstOffset || offset > this.#endOffset) throw this.#buildGone(offset);
    let at = this.#firstOffset;
    for (const chunk of this.#chunks) {
      if (offset < at + chunk.length) return chunk.subarray(offset - at);
      at += chunk.length;
    }
    return undefined;
  }

  #buildGone(offset: number): SchedulerError {
    return new SchedulerError(ErrorKind.AnswerNoLongerKept, {
      message: `Cannot read the answer from offset ${offset}: bytes ${this.#firstOffset} to ${this.#endOffset} are kept`,
      run: RunOutcome.Ran,
    });
  }

  #dropRead(): void {
    if (this.keptBytes <= this.#maxBytes) return;
    const readers = [...this.#readers];
    const wanted = Math.min(this.#endOffset, ...readers.map((reader) => reader.offset));
    let first = this.#chunks[0];
    while (first && this.keptBytes > this.#maxBytes && this.#firstOffset + first.length <= wanted) {
      this.#firstOffset += first.length;
      this.#chunks.shift();
      [first] = this.#chunks;
    }
    if (this.keptBytes <= this.#maxBytes) this.#room.notify();
  }

  #notifyHead(): void {
    this.#headWaiters.forEach((signal) => signal.close());
    this.#headWaiters.clear();
  }
}
