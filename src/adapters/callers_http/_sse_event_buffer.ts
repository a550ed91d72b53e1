/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * @module
 */

/** Longest incomplete event that is buffered; a longer event is forwarded in pieces. */
const MAX_PENDING_BYTES = 65_536;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Buffers an incomplete event until its end arrives. When a stream breaks off within an
 * event whose first part was already sent, the caller would read the error event that
 * follows as the rest of that event, and its parser would fail on both.
 */
export class SseEventBuffer {
  #pending: Buffer = Buffer.alloc(0);

  /**
   * Appends bytes to the buffer.
   *
   * @param bytes - the next bytes from the backend server
   * @returns the buffered bytes up to the end of the last complete event
   */
  push(bytes: Uint8Array): Buffer {
    const joined =
      this.#pending.length === 0 ? Buffer.from(bytes) : Buffer.concat([this.#pending, bytes]);
    const end = findLastEventEnd(joined);
    const splitAt = joined.length - end > MAX_PENDING_BYTES ? joined.length : end;
    this.#pending = joined.subarray(splitAt);
    return joined.subarray(0, splitAt);
  }

  /** @returns the bytes after the last complete event; called when the stream ends normally */
  flush(): Buffer {
    const rest = this.#pending;
    this.#pending = Buffer.alloc(0);
    return rest;
  }
}

/** Finds the last empty line, which ends an event; lines end in LF or CRLF. */
function findLastEventEnd(bytes: Buffer): number {
  for (
    let index = bytes.lastIndexOf(LINE_FEED);
    index > 0;
    index = bytes.lastIndexOf(LINE_FEED, index - 1)
  ) {
    const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
    if (bytes[before] === LINE_FEED) return index + 1;
  }
  return 0;
}
