/**
 * A clock whose time passes only when a test advances it.
 *
 * @module
 */
import { Clock } from '../../src/ports/mod.js';
import type { Timer } from '../../src/ports/mod.js';

interface PendingTimer {
  readonly atMs: number;
  readonly order: number;
  /** Undefined after the timer was cancelled. */
  callback: (() => void) | undefined;
}

/** Turns of the event loop in which promises and callbacks settle between two timers. */
const SETTLE_ROUNDS = 20;

/** Lets pending promises and callbacks run, without time passing on a virtual clock. */
export function settle(roundCount = SETTLE_ROUNDS): Promise<void> {
  return new Promise((resolve) => {
    let rounds = roundCount;
    const next = (): void => {
      rounds -= 1;
      if (rounds === 0) resolve();
      else setImmediate(next);
    };
    setImmediate(next);
  });
}

/** A clock for tests: time passes only in {@link VirtualClock.advance}. */
export class VirtualClock extends Clock {
  #nowMs = 1_000_000;

  /** Start of the wall clock, in milliseconds; a test may step it. */
  wallStartMs = 1_800_000_000_000;

  #lastOrder = 0;

  /** A binary heap by due time. */
  readonly #timers: PendingTimer[] = [];

  readonly #settleRounds: number;

  /** @param settleRounds - turns of the event loop between two timers */
  constructor(settleRounds = SETTLE_ROUNDS) {
    super();
    this.#settleRounds = settleRounds;
  }

  override nowMs(): number {
    return this.#nowMs;
  }

  override wallMs(): number {
    return this.wallStartMs + this.#nowMs;
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    this.#lastOrder += 1;
    const timer: PendingTimer = {
      atMs: this.#nowMs + Math.max(0, delayMs),
      order: this.#lastOrder,
      callback,
    };
    this.#push(timer);
    return {
      cancel: () => {
        timer.callback = undefined;
      },
    };
  }

  /**
   * Advances the time, fires each timer at its due time and lets promises settle between timers.
   *
   * @param byMs - duration in milliseconds
   */
  async advance(byMs: number): Promise<void> {
    const endMs = this.#nowMs + byMs;
    await settle(this.#settleRounds);
    for (let timer = this.#takeNextDue(endMs); timer; timer = this.#takeNextDue(endMs)) {
      this.#nowMs = Math.max(this.#nowMs, timer.atMs);
      timer.callback?.();
      await settle(this.#settleRounds);
    }
    this.#nowMs = endMs;
    await settle(this.#settleRounds);
  }

  /** Advances the time without firing timers, as a frozen process experiences it. */
  jump(byMs: number): void {
    this.#nowMs += byMs;
  }

  #push(timer: PendingTimer): void {
    const heap = this.#timers;
    let index = heap.length;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (compareTimers(heap[parent] as PendingTimer, timer) <= 0) break;
      heap[index] = heap[parent] as PendingTimer;
      index = parent;
    }
    heap[index] = timer;
  }

  #takeNextDue(endMs: number): PendingTimer | undefined {
    let [next] = this.#timers;
    while (next && (next.atMs <= endMs || !next.callback)) {
      this.#removeFirst();
      if (next.callback) return next;
      [next] = this.#timers;
    }
    return undefined;
  }

  #removeFirst(): void {
    const heap = this.#timers;
    const last = heap.pop() as PendingTimer;
    if (heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const other = heap[child + 1];
      if (other && compareTimers(other, heap[child] as PendingTimer) < 0) child += 1;
      if (compareTimers(last, heap[child] as PendingTimer) <= 0) break;
      heap[index] = heap[child] as PendingTimer;
      index = child;
    }
    heap[index] = last;
  }
}

function compareTimers(a: PendingTimer, b: PendingTimer): number {
  return a.atMs - b.atMs || a.order - b.order;
}
