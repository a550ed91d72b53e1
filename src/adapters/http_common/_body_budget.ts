/**
 * Bytes of request bodies that one listener holds.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';

/** The part of the whole that one holder may take: a quarter. */
const HOLDERS_SHARE = 1 / 4;

/**
 * Bounds the bodies of all connections together. Without it, a few hundred
 * callers that each send the longest body allowed would take the memory of a
 * small host, and its process would be killed with everybody's requests. One
 * holder gets only a part, so that it can't fill the whole and shut all others out.
 */
export class BodyBudget {
  readonly #maxBytes: number;

  readonly #bytesByHolder = new Map<string, number>();

  #heldBytes = 0;

  /** @param maxBytes - most bytes held at once */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Bytes held now. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * Takes room.
   *
   * @param holder - such as a client account
   * @param bytes - how much
   * @throws SchedulerError of kind InFlightLimited when the holder's part is taken, or
   * TooManyConnections when the whole is
   */
  acquire(holder: string, bytes: number): void {
    const holdersBytes = (this.#bytesByHolder.get(holder) ?? 0) + bytes;
    if (holdersBytes > this.#maxBytes * HOLDERS_SHARE) {
      throw new SchedulerError(ErrorKind.InFlightLimited, {
        message: "Cannot take the body: too many of the account's bodies are held already",
      });
    }
    if (this.#heldBytes + bytes > this.#maxBytes) {
      throw new SchedulerError(ErrorKind.TooManyConnections, {
        message: 'Cannot take the body: too many bodies are held already',
      });
    }
    this.#heldBytes += bytes;
    this.#bytesByHolder.set(holder, holdersBytes);
  }

  /**
   * Gives room back.
   *
   * @param holder - who took it
   * @param bytes - how much
   */
  release(holder: string, bytes: number): void {
    this.#heldBytes -= bytes;
    const leftBytes = (this.#bytesByHolder.get(holder) ?? 0) - bytes;
    if (leftBytes > 0) this.#bytesByHolder.set(holder, leftBytes);
    else this.#bytesByHolder.delete(holder);
  }
}
