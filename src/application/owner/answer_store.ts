/**
 * Retains finished answers within limits of memory and time.
 *
 * @module
 */
import type { Clock } from '../../ports/mod.js';
import type { AnswerBuffer } from './answer_buffer.js';

/** Options of an answer store. */
export interface AnswerStoreOptions {
  readonly clock: Clock;
  /** Maximum total size of the finished answers, in bytes. */
  readonly maxBytes: number;
  /** Time for which a finished answer is retained, in milliseconds. */
  readonly keepMs: number;
}

interface StoredAnswer {
  readonly answer: AnswerBuffer;
  readonly expiresAtMs: number;
  /** Buffered size when it was added, in bytes. */
  readonly bytes: number;
}

/** Stores finished answers, oldest first, and evicts the oldest when a limit is exceeded. */
export class AnswerStore {
  readonly #options: AnswerStoreOptions;

  readonly #answers: StoredAnswer[] = [];

  #bytes = 0;

  /** @param options - clock and limits */
  constructor(options: AnswerStoreOptions) {
    this.#options = options;
  }

  /** Total size of the stored answers, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Number of stored answers. */
  get size(): number {
    return this.#answers.length;
  }

  /** @param answer - an answer that has just been closed; its retention time starts now */
  add(answer: AnswerBuffer): void {
    const expiresAtMs = this.#options.clock.nowMs() + this.#options.keepMs;
    this.#answers.push({ answer, expiresAtMs, bytes: answer.bufferedBytes });
    this.#bytes += answer.bufferedBytes;
    this.prune();
  }

  /** Discards the answers that exceed the limits. */
  prune(): void {
    const nowMs = this.#options.clock.nowMs();
    let oldest = this.#answers[0];
    while (oldest && (oldest.expiresAtMs <= nowMs || this.#bytes > this.#options.maxBytes)) {
      this.#answers.shift();
      this.#bytes -= oldest.bytes;
      oldest.answer.discard();
      [oldest] = this.#answers;
    }
  }
}
