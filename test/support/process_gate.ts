/**
 * Simulates processes that can be frozen and killed, for tests in one process: the actions of a
 * frozen process are deferred, and those of a killed process are dropped.
 *
 * @module
 */
import { Clock } from '../../src/ports/mod.js';
import type { Timer } from '../../src/ports/mod.js';
import type { VirtualClock } from './virtual_clock.js';

/** Defers the actions of a process while it is frozen, and drops them once it is killed. */
export class ProcessGate {
  #isFrozen = false;

  #isDead = false;

  #deferred: (() => void)[] = [];

  /** Whether the process was frozen since a reader last reset this flag. */
  hasBeenFrozen = false;

  /** Whether the process was killed. */
  get isDead(): boolean {
    return this.#isDead;
  }

  /** Freezes the process, as SIGSTOP does. */
  freeze(): void {
    this.#isFrozen = true;
  }

  /** Resumes the process, as SIGCONT does, and runs all deferred actions. */
  thaw(): void {
    if (!this.#isFrozen) return;
    this.#isFrozen = false;
    this.hasBeenFrozen = true;
    this.#deferred.splice(0).forEach((action) => action());
  }

  /** Kills the process: its deferred and later actions never run. */
  kill(): void {
    this.#isDead = true;
    this.#deferred = [];
  }

  /** Runs an action in the process, now or when the process resumes. */
  run(action: () => void): void {
    if (this.#isDead) return;
    if (this.#isFrozen) this.#deferred.push(action);
    else action();
  }

  /** Waits until the process is not frozen; the promise never resolves once it is killed. */
  waitUntilRunning(): Promise<void> {
    return new Promise((resolve) => {
      this.run(resolve);
    });
  }
}

/** The clock of a process: time passes while it is frozen, but timers fire when it resumes. */
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
