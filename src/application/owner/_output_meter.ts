/**
 * Counts the output of an answer as it passes.
 *
 * @module
 */
const EVENT_STREAM = 'text/event-stream';
const LINE_FEED = 0x0a;
const USAGE_PATTERN = /"completion_tokens"\s*:\s*(\d+)/;
const MAX_TAIL_BYTES = 4096;

/** Counts output tokens of one answer: events of a stream, or the usage that a whole answer tells. */
export class OutputMeter {
  readonly #isStream: boolean;

  #events = 0;

  #lastByte = 0;

  #tail = Buffer.alloc(0);

  /** @param contentType - the answer's `content-type` */
  constructor(contentType: string | undefined) {
    this.#isStream = contentType?.startsWith(EVENT_STREAM) ?? false;
  }

  /** @param bytes - the next part of the body */
  observe(bytes: Uint8Array): void {
    if (!this.#isStream) {
      this.#tail = Buffer.concat([this.#tail, bytes]).subarray(-MAX_TAIL_BYTES);
      return;
    }
    for (const byte of bytes) {
      // An event ends with an empty line; the two line feeds may stand in two parts.
      if (byte === LINE_FEED && this.#lastByte === LINE_FEED) this.#events += 1;
      this.#lastByte = byte;
    }
  }

  /** Output so far, in tokens; a stream's last event carries none. */
  get tokens(): number {
    if (this.#isStream) return Math.max(0, this.#events - 1);
    return Number(USAGE_PATTERN.exec(this.#tail.toString('utf8'))?.[1] ?? 0);
  }
}
