/**
 * Cache events as engines publish them: late and with gaps.
 *
 * @module
 */

/** One change of the prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly stored: boolean;
  readonly blockHash: string;
}

interface DatedEvent {
  readonly event: CacheEvent;
  readonly visibleAtMs: number;
}

/** Of so many events one is never published. */
const GAP_EVERY = 10;
const GAP_REMAINDER = 7;
const MAX_KEPT_EVENTS = 5000;
const MAX_EVENTS_PER_ANSWER = 1000;

/** Keeps the events until they are old enough to be seen. */
export class CacheEventFeed {
  #sequence = 0;

  #events: DatedEvent[] = [];

  /** @param lagMs - how late an event is published, in milliseconds */
  constructor(readonly lagMs: number) {}

  /**
   * Records one change.
   *
   * @param stored - whether the block came or went
   * @param blockHash - which block
   */
  record(stored: boolean, blockHash: string): void {
    this.#sequence += 1;
    if (this.#sequence % GAP_EVERY === GAP_REMAINDER) return;
    const event = { sequence: this.#sequence, stored, blockHash };
    this.#events.push({ event, visibleAtMs: performance.now() + this.lagMs });
    if (this.#events.length > 2 * MAX_KEPT_EVENTS) {
      this.#events = this.#events.slice(-MAX_KEPT_EVENTS);
    }
  }

  /**
   * Lists what is published by now.
   *
   * @param after - last sequence number that the reader has seen
   * @returns the events after it
   */
  list(after: number): CacheEvent[] {
    const nowMs = performance.now();
    return this.#events
      .filter((dated) => dated.event.sequence > after && dated.visibleAtMs <= nowMs)
      .slice(0, MAX_EVENTS_PER_ANSWER)
      .map((dated) => dated.event);
  }
}
