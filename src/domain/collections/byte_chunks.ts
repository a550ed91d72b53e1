/**
 * Collects the bytes of a body.
 *
 * @module
 */

/** Chunks that are kept apart; a body of chunks of one byte would take a hundred times its size. */
const MAX_CHUNKS = 256;

/** Collects chunks of bytes, and joins them when there are many. */
export class ByteChunks {
  #chunks: Buffer[] = [];

  #length = 0;

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** @param chunk - the next bytes */
  append(chunk: Buffer): void {
    this.#length += chunk.length;
    if (this.#chunks.length === MAX_CHUNKS) this.#chunks = [Buffer.concat(this.#chunks)];
    this.#chunks.push(chunk);
  }

  /** @returns all bytes, which stay here */
  join(): Buffer {
    const [first, ...others] = this.#chunks;
    if (!first) return Buffer.alloc(0);
    const joined = others.length === 0 ? first : Buffer.concat([first, ...others]);
    this.#chunks = [joined];
    return joined;
  }

  /** @returns all bytes, which are no longer kept */
  take(): Buffer {
    const joined = this.join();
    this.#chunks = [];
    this.#length = 0;
    return joined;
  }
}
