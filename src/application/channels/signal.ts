/**
 * A signal that says "look again".
 *
 * @module
 */
import { Channel, Overflow } from './channel.js';

/** Wakes one waiter; several notices before the next wait count as one. */
export class Signal {
  readonly #channel = new Channel<boolean>({ capacity: 1, overflow: Overflow.Slide });

  /** Wakes the waiter, now or at its next wait. */
  notify(): void {
    this.#channel.offer(true);
  }

  /** @returns when notified, or at once after {@link Signal.close} */
  async wait(): Promise<void> {
    await this.#channel.takeAsync();
  }

  /** Wakes the waiter for good. */
  close(): void {
    this.#channel.close();
  }
}
