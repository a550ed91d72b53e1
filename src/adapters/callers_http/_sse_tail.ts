/**
 * Server-sent events, cut at their ends.
 *
 * @module
 */

/** Longest unfinished event that is held back; a longer one is let through in pieces. */
const MAX_HELD_BYTES = 65_536;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Holds an unfinished event back until its end has come. When the stream breaks
 * off within an event, an error event sent right behind its first half would be
 * read as the rest of it, and the caller's parser would fail on both.
 */
export class SseTail {
  #held: Buffer = Buffer.alloc(0);

  /**
   * Takes the next bytes.
   *
   * @param bytes - as the backend server sent them
   * @returns the bytes up to the end of the last whole event
   */
  take(bytes: Uint8Array): Buffer {
    const joined =
      this.#held.length === 0 ? Buffer.from(bytes) : Buffer.concat([this.#held, bytes]);
    const end = findLastEventEnd(joined);
    const cut = joined.length - end > MAX_HELD_BYTES ? joined.length : end;
    this.#held = joined.subarray(cut);
    return joined.subarray(0, cut);
  }

  /** @returns the bytes behind the last whole event, at the stream's proper end */
  takeRest(): Buffer {
    const rest = this.#held;
    this.#held = Buffer.alloc(0);
    return rest;
  }
}

/** An event ends with an empty line: a line feed behind a line feed, carriage returns aside. */
function findLastEventEnd(bytes: Buffer): number {
  for (let at = bytes.lastIndexOf(LINE_FEED); at > 0; at = bytes.lastIndexOf(LINE_FEED, at - 1)) {
    const before = bytes[at - 1] === CARRIAGE_RETURN ? at - 2 : at - 1;
    if (bytes[before] === LINE_FEED) return at + 1;
  }
  return 0;
}
