/**
 * Provides a signal that wakes a waiting loop when there may be new work.
 *
 * @module
 */
import { Channel, Overflow } from './channel.js';

/** Wakes one waiter. Several notifications before its next wait count as one. */
export class Signal {
  readonly #channel = new Channel<boolean>({ capacity: 1, overflow: Overflow.Slide });

  /** Wakes the waiter; if nobody waits now, the next wait returns at once. */
  notify(): void {
    this.#channel.offer(true);
  }

  /** @returns a promise that resolves on a notification, or at once after {@link Signal.close} */
  async wait(): Promise<void> {
    await this.#channel.takeAsync();
  }

  /** Wakes the waiter and lets every later wait return at once. */
  close(): void {
    this.#channel.close();
  }
}
