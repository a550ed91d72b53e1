/**
 * Reads the body of a backend server's answer and checks how it ends.
 *
 * @module
 */
import {
  AnswerEnd,
  classifyAnswerEnd,
  describeBrokenEnd,
  EventSplitter,
} from '../../domain/streams/mod.js';
import { BackendCallError, BackendCallStage } from '../../ports/mod.js';
import type { BackendAnswer } from '../../ports/mod.js';
import type { AnswerHead } from './answer_buffer.js';

const EVENT_STREAM = 'text/event-stream';

/** Checks one answer, which may arrive in several parts when it is resumed. */
export class CheckedBody {
  readonly #isMarkPromised: boolean;

  readonly #splitter: EventSplitter | undefined;

  /** @param head - the head that the caller gets */
  constructor({ headers, isFramed }: Pick<AnswerHead, 'headers' | 'isFramed'>) {
    this.#isMarkPromised = isFramed;
    const isEventStream = headers['content-type']?.startsWith(EVENT_STREAM) === true;
    // In a compressed stream, events can't be told apart.
    const hasEvents = isEventStream && headers['content-encoding'] === undefined;
    this.#splitter = hasEvents ? new EventSplitter(Infinity) : undefined;
  }

  /** @param bytes - bytes of the body that arrived another way */
  observe(bytes: Uint8Array): void {
    this.#splitter?.split(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength));
  }

  /**
   * Reads the body, or the rest of it, to its end.
   *
   * @param answer - the answer, or the rest of one that is resumed
   * @returns the chunks as they arrive
   * @throws BackendCallError when the answer breaks off
   */
  async *read({ body, isFramed }: BackendAnswer): AsyncGenerator<Uint8Array> {
    for await (const bytes of body) {
      this.observe(bytes);
      yield bytes;
    }
    const facts = {
      isFramed,
      isInsideEvent: this.#splitter?.isInsideEvent === true,
      // The caller has the head already, so that no other answer can replace an empty one.
      isEmpty: false,
      isMarkPromised: this.#isMarkPromised,
    };
    if (classifyAnswerEnd(facts) === AnswerEnd.BrokenOff)
      throw new BackendCallError(BackendCallStage.Answering, describeBrokenEnd(facts));
  }
}
