/**
 * A process that can be frozen and killed, for tests in one process: what
 * would reach it waits while it is frozen, and is lost once it is dead.
 *
 * @module
 */
import { Clock } from '../../src/ports/mod.js';
import type { Timer } from '../../src/ports/mod.js';
import type { VirtualClock } from './virtual_clock.js';

/** Holds back everything that a frozen process would not have done. */
export class ProcessGate {
  #isFrozen = false;

  #isDead = false;

  #held: (() => void)[] = [];

  /** Whether it was frozen since it was last asked; asking resets it. */
  takeWasFrozen = false;

  /** Whether it was killed. */
  get isDead(): boolean {
    return this.#isDead;
  }

  /** Freezes it, as SIGSTOP does. */
  freeze(): void {
    this.#isFrozen = true;
  }

  /** Wakes it, as SIGCONT does: everything held back happens now, late. */
  thaw(): void {
    if (!this.#isFrozen) return;
    this.#isFrozen = false;
    this.takeWasFrozen = true;
    this.#held.splice(0).forEach((action) => action());
  }

  /** Kills it: nothing of it happens any more. */
  kill(): void {
    this.#isDead = true;
    this.#held = [];
  }

  /** Does something in the process, now or when it wakes. */
  run(action: () => void): void {
    if (this.#isDead) return;
    if (this.#isFrozen) this.#held.push(action);
    else action();
  }

  /** @returns when the process runs; never once it is dead */
  pass(): Promise<void> {
    return new Promise((resolve) => {
      this.run(resolve);
    });
  }
}

/** The clock of a process behind a gate: time goes on, timers fire when it wakes. */
export class GatedClock extends Clock {
  constructor(
    readonly base: VirtualClock,
    readonly gate: ProcessGate,
  ) {
    super();
  }

  override nowMs(): number {
    return this.base.nowMs();
  }

  override wallMs(): number {
    return this.base.wallMs();
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    return this.base.setTimer(delayMs, () => this.gate.run(callback));
  }
}
