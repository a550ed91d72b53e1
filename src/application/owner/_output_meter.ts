/**
 * Measures the output tokens of an answer while it is streamed.
 *
 * @module
 */
const EVENT_STREAM = 'text/event-stream';
const LINE_FEED = 0x0a;
const USAGE_PATTERN = /"completion_tokens"\s*:\s*(\d+)/;

/** Bytes at the end of a non-streamed answer that are searched for its token usage. */
const MAX_TAIL_BYTES = 4096;

/**
 * Counts the output tokens of one answer: one token per event of an event stream, or the
 * reported usage of a non-streamed answer.
 */
export class OutputMeter {
  readonly #isStream: boolean;

  #eventCount = 0;

  #lastByte = 0;

  #tail = Buffer.alloc(0);

  /** @param contentType - the answer's `content-type` header */
  constructor(contentType: string | undefined) {
    this.#isStream = contentType?.startsWith(EVENT_STREAM) ?? false;
  }

  /** @param bytes - the next chunk of the body */
  observe(bytes: Uint8Array): void {
    if (!this.#isStream) {
      this.#tail = Buffer.concat([this.#tail, bytes]).subarray(-MAX_TAIL_BYTES);
      return;
    }
    for (const byte of bytes) {
      // An event ends with an empty line; its two line feeds may be split over two chunks.
      if (byte === LINE_FEED && this.#lastByte === LINE_FEED) this.#eventCount += 1;
      this.#lastByte = byte;
    }
  }

  /** Output so far, in tokens. The last event of a stream carries no token. */
  get tokens(): number {
    if (this.#isStream) return Math.max(0, this.#eventCount - 1);
    return Number(USAGE_PATTERN.exec(this.#tail.toString('utf8'))?.[1] ?? 0);
  }
}
