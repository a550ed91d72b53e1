/**
 * Finds an entry host's error event in a stream of server-sent events.
 *
 * @module
 */
import { parseRefusal } from './_refusal.js';
import type { Refusal } from './_refusal.js';

const EVENT_END = '\n\n';
const DATA_FIELD = 'data: ';
const ERROR_EVENT_START = `${DATA_FIELD}{"error":`;

/** An entry host broke the answer off and says why. */
export class ErrorEvent extends Error {
  override readonly name = 'ErrorEvent';

  /** @param refusal - what the event says */
  constructor(readonly refusal: Refusal) {
    super(refusal.message);
  }
}

/**
 * Passes whole events on. An error event is no part of the answer: counted
 * into it, the offset from which another entry host reads on would be wrong
 * and bytes would be missing. So each event is looked at before it is passed.
 */
export class ErrorEventFilter {
  #buffered: Buffer = Buffer.alloc(0);

  /**
   * @param bytes - the next bytes of the body
   * @returns whole events
   * @throws ErrorEvent after the last event before it
   */
  *split(bytes: Uint8Array): Generator<Buffer> {
    this.#buffered =
      this.#buffered.length === 0 ? Buffer.from(bytes) : Buffer.concat([this.#buffered, bytes]);
    for (let end = this.#findEnd(); end >= 0; end = this.#findEnd()) {
      const event = this.#buffered.subarray(0, end);
      throwIfErrorEvent(event);
      this.#buffered = this.#buffered.subarray(end);
      yield event;
    }
  }

  /** @returns what stands behind the last whole event */
  takeRest(): Buffer {
    const rest = this.#buffered;
    this.#buffered = Buffer.alloc(0);
    return rest;
  }

  #findEnd(): number {
    const at = this.#buffered.indexOf(EVENT_END);
    return at < 0 ? -1 : at + EVENT_END.length;
  }
}

/**
 * The error event may stand behind the first half of a very long event, which
 * entry hosts pass on in pieces. Quotes inside JSON text are escaped, so no
 * answer's own text can look like its start.
 */
function throwIfErrorEvent(event: Buffer): void {
  const start = event.lastIndexOf(ERROR_EVENT_START);
  if (start < 0) return;
  const refusal = parseRefusal(event.toString('utf8', start + DATA_FIELD.length));
  if (refusal) throw new ErrorEvent(refusal);
}
