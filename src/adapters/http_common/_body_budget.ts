/**
 * Limits the bytes of request bodies that one listener buffers.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';

/** Fraction of the budget that one holder may use. */
const MAX_HOLDER_FRACTION = 1 / 4;

/**
 * Limits the total size of the bodies of all connections. Without this limit, a few hundred
 * callers that each send the longest allowed body would use up the memory of a small host,
 * and its process would be killed along with all requests. Each holder may use only a
 * fraction, so that it can't use up the budget and shut out all others.
 */
export class BodyBudget {
  readonly #maxBytes: number;

  readonly #bytesByHolder = new Map<string, number>();

  #reservedBytes = 0;

  /** @param maxBytes - most bytes buffered at once */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Bytes currently reserved. */
  get reservedBytes(): number {
    return this.#reservedBytes;
  }

  /**
   * Reserves bytes.
   *
   * @param holder - whom the bytes count against, such as a client account
   * @param bytes - number of bytes
   * @throws SchedulerError of kind InFlightLimited when the holder would exceed its fraction,
   * or TooManyConnections when all holders together would exceed the budget
   */
  acquire(holder: string, bytes: number): void {
    const holderBytes = (this.#bytesByHolder.get(holder) ?? 0) + bytes;
    if (holderBytes > this.#maxBytes * MAX_HOLDER_FRACTION) {
      throw new SchedulerError(ErrorKind.InFlightLimited, {
        message: "Cannot accept the body: the account's buffered bodies exceed its share",
      });
    }
    if (this.#reservedBytes + bytes > this.#maxBytes) {
      throw new SchedulerError(ErrorKind.TooManyConnections, {
        message: 'Cannot accept the body: the buffered bodies of all accounts exceed the limit',
      });
    }
    this.#reservedBytes += bytes;
    this.#bytesByHolder.set(holder, holderBytes);
  }

  /**
   * Releases reserved bytes.
   *
   * @param holder - the holder that reserved them
   * @param bytes - number of bytes
   */
  release(holder: string, bytes: number): void {
    this.#reservedBytes -= bytes;
    const remainingBytes = (this.#bytesByHolder.get(holder) ?? 0) - bytes;
    if (remainingBytes > 0) this.#bytesByHolder.set(holder, remainingBytes);
    else this.#bytesByHolder.delete(holder);
  }
}
