/**
 * Joins the parts of a body that are read in one turn of the event loop.
 *
 * @module
 */

/**
 * Collects parts until the present turn has read all of its input. A server chooses the size of its
 * chunks: those of a few bytes would each cost as much as a large one, at every host on their way.
 */
export class BodyParts {
  readonly #onBytes: (bytes: Buffer) => void;

  #parts: Buffer[] = [];

  /** @param onBytes - called with the joined parts, never with none */
  constructor(onBytes: (bytes: Buffer) => void) {
    this.#onBytes = onBytes;
  }

  /** @param part - the next bytes of the body, given on at the end of the turn at the latest */
  append(part: Buffer): void {
    this.#parts.push(part);
    if (this.#parts.length === 1) process.nextTick(() => this.flush());
  }

  /** Gives on what was collected. */
  flush(): void {
    const parts = this.#parts;
    if (parts.length === 0) return;
    this.#parts = [];
    this.#onBytes(parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts));
  }

  /** Drops what was collected. */
  clear(): void {
    this.#parts = [];
  }
}
