/**
 * Typed channels.
 *
 * @module
 */
import csp from 'js-csp';
import type { RawChannel } from 'js-csp';
import type { Step } from './process.js';

/** What a take from a closed, empty channel gives. */
export const CLOSED = Symbol('closed');

/** How a channel treats a put that finds no room. */
export enum Overflow {
  /** The put waits for room. */
  Wait = 'wait',
  /** The oldest value makes room. */
  Slide = 'slide',
}

/** Options of a channel. */
export interface ChannelOptions {
  /** Values that it holds; 0 hands each over directly. Default 0. */
  readonly capacity?: number;
  /** Default: the put waits. */
  readonly overflow?: Overflow;
}

/** A typed channel between processes. `undefined` and `null` can't go through. */
export class Channel<T extends object | string | number | boolean> {
  readonly #raw: RawChannel;

  /** @param options - capacity and what happens on overflow */
  constructor(options: ChannelOptions = {}) {
    const capacity = options.capacity ?? 0;
    this.#raw =
      options.overflow === Overflow.Slide
        ? csp.chan(csp.buffers.sliding(capacity))
        : csp.chan(capacity);
  }

  /** Takes one value inside a process: `const value = yield* channel.take()`. */
  *take(): Step<T | typeof CLOSED> {
    const value = (yield csp.take(this.#raw)) as T | null;
    return value === csp.CLOSED ? CLOSED : value;
  }

  /**
   * Puts one value inside a process: `yield* channel.put(value)`.
   *
   * @param value - the value
   * @returns false when the channel is closed
   */
  *put(value: T): Step<boolean> {
    return (yield csp.put(this.#raw, value)) as boolean;
  }

  /**
   * Puts one value if that needs no waiting.
   *
   * @param value - the value
   * @returns whether it went in
   */
  offer(value: T): boolean {
    return csp.offer(this.#raw, value);
  }

  /**
   * Takes one value outside a process.
   *
   * @returns the value, or {@link CLOSED}
   */
  takeAsync(): Promise<T | typeof CLOSED> {
    return new Promise((resolve) => {
      csp.takeAsync(this.#raw, (value) => resolve(value === csp.CLOSED ? CLOSED : (value as T)));
    });
  }

  /** Closes it: what is in can still be taken, nothing more goes in. */
  close(): void {
    this.#raw.close();
  }

  /** Whether it was closed. */
  get isClosed(): boolean {
    return this.#raw.closed;
  }
}
