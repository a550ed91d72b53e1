/**
 * Checks the line ends of message heads.
 *
 * @module
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Reads one head, in any parts. Node's parser takes any byte for the line feed that ends a head: one
 * that stops right before it would be completed by the first byte of whatever follows.
 */
export class HeadScanner {
  #isAfterReturn = false;

  #lineBytes = 0;

  /** Whether a line has ended; empty lines before the first one belong to no head. */
  #hasLine = false;

  #hasEnded = false;

  #isMalformed = false;

  /** Whether the empty line has been read that ends the head. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Whether a carriage return is not followed by a line feed. */
  get isMalformed(): boolean {
    return this.#isMalformed;
  }

  /**
   * Reads on to the end of the head or of the bytes.
   *
   * @param bytes - the next bytes of the connection
   * @param from - index of the first one that is read
   * @returns index behind the last one that was read
   */
  read(bytes: Buffer, from: number): number {
    let index = from;
    while (index < bytes.length && !this.#hasEnded && !this.#isMalformed) {
      this.#readByte(bytes[index] as number);
      index += 1;
    }
    return index;
  }

  #readByte(byte: number): void {
    if (!this.#isAfterReturn) {
      this.#isAfterReturn = byte === CARRIAGE_RETURN;
      if (!this.#isAfterReturn) this.#lineBytes += 1;
      return;
    }
    this.#isAfterReturn = false;
    if (byte !== LINE_FEED) this.#isMalformed = true;
    else if (this.#lineBytes === 0) this.#hasEnded = this.#hasLine;
    else this.#hasLine = true;
    this.#lineBytes = 0;
  }
}
