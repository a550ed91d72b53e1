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
  readonly callback: () => void;
}

/** Lets pending promises and callbacks run, without time passing on a virtual clock. */
export function settle(): Promise<void> {
  return new Promise((resolve) => {
    let rounds = 20;
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

  #lastOrder = 0;

  readonly #timers = new Set<PendingTimer>();

  override nowMs(): number {
    return this.#nowMs;
  }

  override wallMs(): number {
    return 1_800_000_000_000 + this.#nowMs;
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    this.#lastOrder += 1;
    const timer = { atMs: this.#nowMs + Math.max(0, delayMs), order: this.#lastOrder, callback };
    this.#timers.add(timer);
    return {
      cancel: () => {
        this.#timers.delete(timer);
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
    await settle();
    for (let timer = this.#findNextDue(endMs); timer; timer = this.#findNextDue(endMs)) {
      this.#timers.delete(timer);
      this.#nowMs = Math.max(this.#nowMs, timer.atMs);
      timer.callback();
      await settle();
    }
    this.#nowMs = endMs;
    await settle();
  }

  /** Advances the time without firing timers, as a frozen process experiences it. */
  jump(byMs: number): void {
    this.#nowMs += byMs;
  }

  #findNextDue(endMs: number): PendingTimer | undefined {
    let next: PendingTimer | undefined;
    this.#timers.forEach((timer) => {
      if (timer.atMs > endMs) return;
      if (!next || timer.atMs < next.atMs || (timer.atMs === next.atMs && timer.order < next.order))
        next = timer;
    });
    return next;
  }
}
