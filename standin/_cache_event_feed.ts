/**
 * Feed of prefix cache events that, like that of a real engine, is delayed and has gaps.
 *
 * @module
 */

/** One block stored in or evicted from the prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly stored: boolean;
  readonly blockHash: string;
}

interface DelayedEvent {
  readonly event: CacheEvent;
  readonly visibleAtMs: number;
}

/** One of this many events is never published. */
const GAP_INTERVAL = 10;
const GAP_REMAINDER = 7;
const MAX_BUFFERED_EVENTS = 5000;
const MAX_EVENTS_PER_RESPONSE = 1000;

/** Buffers cache events and publishes each after a fixed delay. */
export class CacheEventFeed {
  #sequence = 0;

  #events: DelayedEvent[] = [];

  /** @param lagMs - delay before an event is published, in milliseconds */
  constructor(readonly lagMs: number) {}

  /**
   * Records one change of the cache.
   *
   * @param stored - true if the block was stored, false if it was evicted
   * @param blockHash - hash of the block
   */
  record(stored: boolean, blockHash: string): void {
    this.#sequence += 1;
    if (this.#sequence % GAP_INTERVAL === GAP_REMAINDER) return;
    const event = { sequence: this.#sequence, stored, blockHash };
    this.#events.push({ event, visibleAtMs: performance.now() + this.lagMs });
    if (this.#events.length > 2 * MAX_BUFFERED_EVENTS) {
      this.#events = this.#events.slice(-MAX_BUFFERED_EVENTS);
    }
  }

  /**
   * Lists the published events after a sequence number.
   *
   * @param after - last sequence number that the reader has seen
   * @returns the first of the later events, up to the limit of a response
   */
  list(after: number): CacheEvent[] {
    const nowMs = performance.now();
    return this.#events
      .filter((dated) => dated.event.sequence > after && dated.visibleAtMs <= nowMs)
      .slice(0, MAX_EVENTS_PER_RESPONSE)
      .map((dated) => dated.event);
  }
}
