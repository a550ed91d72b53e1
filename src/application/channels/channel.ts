/**
 * Provides typed channels on top of `js-csp`.
 *
 * @module
 */
import csp from 'js-csp';
import type { RawChannel } from 'js-csp';
import type { Step } from './process.js';

/** Result of a take from a channel that is closed and empty. */
export const CLOSED = Symbol('closed');

/** What a channel does with a put when its buffer is full. */
export enum Overflow {
  /** The put waits until a value is taken. */
  Wait = 'wait',
  /** The oldest buffered value is dropped. */
  Slide = 'slide',
}

/** Options of a channel. */
export interface ChannelOptions {
  /** Number of values that it buffers. With 0, the default, each put waits for a take. */
  readonly capacity?: number;
  /** Behaviour when the buffer is full. Default: {@link Overflow.Wait}. */
  readonly overflow?: Overflow;
}

/** A typed channel between processes. It can't carry `undefined` or `null`. */
export class Channel<T extends object | string | number | boolean> {
  readonly #raw: RawChannel;

  /** @param options - the buffer's capacity and what happens when it is full */
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
   * Puts one value if that is possible without waiting.
   *
   * @param value - the value
   * @returns whether the channel accepted it
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

  /** Closes the channel. Buffered values can still be taken; further puts fail. */
  close(): void {
    this.#raw.close();
  }

  /** Whether the channel was closed. */
  get isClosed(): boolean {
    return this.#raw.closed;
  }
}
