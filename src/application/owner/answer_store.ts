/**
 * Bounds what kept answers take.
 *
 * @module
 */
import type { Clock } from '../../ports/mod.js';
import type { KeptAnswer } from './kept_answer.js';

/** Options of the store. */
export interface AnswerStoreOptions {
  readonly clock: Clock;
  /** Bytes that finished answers may take together. */
  readonly maxBytes: number;
  /** How long a finished answer is kept, in milliseconds. */
  readonly keepMs: number;
}

interface Finished {
  readonly answer: KeptAnswer;
  readonly untilMs: number;
  /** Bytes that it took when it was put in. */
  readonly bytes: number;
}

/** Finished answers, oldest first; gives up the oldest when room or time is over. */
export class AnswerStore {
  readonly #options: AnswerStoreOptions;

  readonly #finished: Finished[] = [];

  #bytes = 0;

  /** @param options - clock and bounds */
  constructor(options: AnswerStoreOptions) {
    this.#options = options;
  }

  /** Bytes that finished answers take now. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Finished answers that are kept now. */
  get size(): number {
    return this.#finished.length;
  }

  /** @param answer - an answer that has just been closed */
  put(answer: KeptAnswer): void {
    const untilMs = this.#options.clock.nowMs() + this.#options.keepMs;
    this.#finished.push({ answer, untilMs, bytes: answer.keptBytes });
    this.#bytes += answer.keptBytes;
    this.prune();
  }

  /** Gives up answers beyond the bounds. */
  prune(): void {
    const nowMs = this.#options.clock.nowMs();
    let oldest = this.#finished[0];
    while (oldest && (oldest.untilMs <= nowMs || this.#bytes > this.#options.maxBytes)) {
      this.#finished.shift();
      this.#bytes -= oldest.bytes;
      oldest.answer.drop();
      [oldest] = this.#finished;
    }
  }
}
