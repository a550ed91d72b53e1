/**
 * Filters the error event of an entry host out of a stream of server-sent events.
 *
 * @module
 */
import { parseRefusal } from './_refusal.js';
import type { Refusal } from './_refusal.js';

const EVENT_END = '\n\n';
const DATA_FIELD = 'data: ';
const ERROR_EVENT_START = `${DATA_FIELD}{"error":`;

/** An entry host ended the stream early with an error event that gives the reason. */
export class ErrorEvent extends Error {
  override readonly name = 'ErrorEvent';

  /** @param refusal - the error that the event carries */
  constructor(readonly refusal: Refusal) {
    super(refusal.message);
  }
}

/**
 * Splits a stream into complete events and stops at an error event. An entry host adds the error
 * event; it is not part of the answer. If its bytes counted towards the offset at which another
 * entry host resumes the answer, the caller would miss as many bytes of the answer. So each event
 * is checked before it is passed on.
 */
export class ErrorEventFilter {
  #buffered: Buffer = Buffer.alloc(0);

  /**
   * @param chunk - the next chunk of the body
   * @returns the events that are complete with this chunk
   * @throws ErrorEvent at an error event, after all events before it were returned
   */
  *split(chunk: Uint8Array): Generator<Buffer> {
    this.#buffered =
      this.#buffered.length === 0 ? Buffer.from(chunk) : Buffer.concat([this.#buffered, chunk]);
    for (let end = this.#findEnd(); end >= 0; end = this.#findEnd()) {
      const event = this.#buffered.subarray(0, end);
      throwIfErrorEvent(event);
      this.#buffered = this.#buffered.subarray(end);
      yield event;
    }
  }

  /** @returns the bytes after the last complete event */
  takeRest(): Buffer {
    const rest = this.#buffered;
    this.#buffered = Buffer.alloc(0);
    return rest;
  }

  #findEnd(): number {
    const index = this.#buffered.indexOf(EVENT_END);
    return index < 0 ? -1 : index + EVENT_END.length;
  }
}

/**
 * Throws when the event contains an error event. Entry hosts forward a very long event in pieces,
 * so the error event may follow the first part of one; hence the search from the end. JSON escapes
 * quotes inside strings, so the text of an answer can't contain the start of an error event.
 */
function throwIfErrorEvent(event: Buffer): void {
  const start = event.lastIndexOf(ERROR_EVENT_START);
  if (start < 0) return;
  const refusal = parseRefusal(event.toString('utf8', start + DATA_FIELD.length));
  if (refusal) throw new ErrorEvent(refusal);
}
