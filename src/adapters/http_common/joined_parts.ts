/**
 * Keeps the parts of a body in few buffers.
 *
 * @module
 */

/** Shortest and longest buffer into which parts are copied, in bytes. */
const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;

/** Memory that a buffer takes beside its bytes, roughly. */
const BLOCK_OVERHEAD_BYTES = 256;

/**
 * Collects the parts of a body. A part shares the buffer of all that was read with it, and a caller
 * chooses the size of its chunks: kept as they come, parts of one byte would each keep a whole read.
 */
export class JoinedParts {
  #blocks: Buffer[] = [];

  /** Bytes of the last block that are in use. */
  #usedBytes = 0;

  #length = 0;

  #sizeBytes = 0;

  /** Length of all parts, in bytes. */
  get length(): number {
    return this.#length;
  }

  /** Memory that the parts take, in bytes. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** @param part - the next part */
  append(part: Buffer): void {
    const isMostOfItsBuffer = part.length * 2 >= part.buffer.byteLength;
    if (isMostOfItsBuffer && part.length >= MIN_BLOCK_BYTES) this.#keep(part);
    else this.#copy(part);
    this.#length += part.length;
  }

  /** @returns all parts as one buffer; none of them is kept here */
  join(): Buffer {
    this.#closeBlock();
    const blocks = this.#blocks;
    this.#blocks = [];
    return blocks.length === 1 ? (blocks[0] as Buffer) : Buffer.concat(blocks);
  }

  /** Drops all parts. */
  clear(): void {
    this.#blocks = [];
    this.#usedBytes = 0;
    this.#sizeBytes = 0;
  }

  /** Cuts the unused end off the last block. */
  #closeBlock(): void {
    const block = this.#blocks.pop();
    if (block) this.#blocks.push(block.subarray(0, this.#usedBytes));
  }

  #keep(part: Buffer): void {
    this.#closeBlock();
    this.#addBlock(part, part.buffer.byteLength);
    this.#usedBytes = part.length;
  }

  #copy(part: Buffer): void {
    let copiedBytes = 0;
    while (copiedBytes < part.length) {
      const block = this.#findRoom(part.length - copiedBytes);
      const byteCount = part.copy(block, this.#usedBytes, copiedBytes);
      this.#usedBytes += byteCount;
      copiedBytes += byteCount;
    }
  }

  /** Finds a block with room for a byte at least. */
  #findRoom(wantedBytes: number): Buffer {
    const last = this.#blocks.at(-1);
    if (last && this.#usedBytes < last.length) return last;
    const usualBytes = Math.min(Math.max(this.#length, MIN_BLOCK_BYTES), MAX_BLOCK_BYTES);
    // Not from the pool, which a small block would keep.
    const block = Buffer.allocUnsafeSlow(
      Math.max(usualBytes, Math.min(wantedBytes, MAX_BLOCK_BYTES)),
    );
    this.#usedBytes = 0;
    this.#addBlock(block, block.length);
    return block;
  }

  #addBlock(block: Buffer, bytes: number): void {
    this.#blocks.push(block);
    this.#sizeBytes += bytes + BLOCK_OVERHEAD_BYTES;
  }
}
