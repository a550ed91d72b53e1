/**
 * Measures how late the timers of this process run, and ends calls whose time is over.
 *
 * @module
 */
import { LatenessGate } from '../../domain/direct/mod.js';
import type { GateChange } from '../../domain/direct/mod.js';
import type { Clock } from '../../ports/mod.js';

/** Interval of the timer whose lateness is measured, in milliseconds. */
const TICK_MS = 50;

/** Time without calls after which the timer stops, in milliseconds. */
const IDLE_MS = 2_000;

/** Lateness of a timer from which on calls are ended before new work, in milliseconds. */
const SWEEP_LATENESS_MS = 100;

/** Shortest time between two sweeps, in milliseconds. */
const SWEEP_INTERVAL_MS = 50;

/**
 * Longest delay that is attributed to a request when it is read, in milliseconds. After a pause of
 * the process it may have arrived at any time.
 */
const MAX_DELAY_MS = 500;

/** A call that ends at its time. */
export interface TimedCall {
  /** When it times out, on the monotonic clock in milliseconds. */
  readonly deadlineAtMs: number;
  /** Ends the call, since its time is over. */
  endOverdue(): void;
}

/** Dependencies of a {@link LatenessMonitor}. */
export interface LatenessMonitorOptions {
  readonly clock: Clock;
  /**
   * Total time for which this process has waited for events, in milliseconds. Undefined: the
   * lateness is not measured.
   */
  readonly measureIdleMs?: (() => number) | undefined;
  /** @returns the calls in progress */
  readonly listCalls: () => Iterable<TimedCall>;
  readonly onGateChange: (change: GateChange) => void;
}

/** Runs a timer while there are calls; a host without calls has none. */
export class LatenessMonitor {
  readonly #options: LatenessMonitorOptions;

  readonly #gate: LatenessGate;

  /** When the timer is due; undefined while there is none. */
  #dueAtMs: number | undefined;

  #idleMsBefore = 0;

  #lastCallAtMs = 0;

  #sweptAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - clock, calls, and what is called when the gate closes or opens */
  constructor(options: LatenessMonitorOptions) {
    this.#options = options;
    this.#gate = new LatenessGate(options.clock.nowMs());
  }

  /** How strongly new calls are rejected, from 0 to 1. */
  get severity(): number {
    return this.#gate.severity;
  }

  /** How late the timer was last, because of work of this process, in milliseconds. */
  get latenessMs(): number {
    return this.#dueAtMs === undefined ? 0 : this.#gate.latenessMs;
  }

  /**
   * Records a new call, after ending those whose time is over if this turn is late.
   *
   * @returns the least time for which the call has waited to be read, in milliseconds; 0 if the
   *   delay is none of a starved process
   */
  recordCall(): number {
    const nowMs = this.#options.clock.nowMs();
    this.#lastCallAtMs = nowMs;
    if (!this.#options.measureIdleMs) return 0;
    if (this.#dueAtMs === undefined) this.#schedule(nowMs);
    this.#sweepIfLate(nowMs);
    const overdueMs = nowMs - (this.#dueAtMs ?? nowMs);
    return overdueMs < SWEEP_LATENESS_MS ? 0 : Math.min(overdueMs, MAX_DELAY_MS);
  }

  /** Ends calls whose time is over if this turn is late; called before work on others. */
  sweepIfLate(): void {
    if (this.#dueAtMs !== undefined) this.#sweepIfLate(this.#options.clock.nowMs());
  }

  #sweepIfLate(nowMs: number): void {
    const isLate = nowMs - (this.#dueAtMs ?? nowMs) >= SWEEP_LATENESS_MS;
    if (!isLate || nowMs - this.#sweptAtMs < SWEEP_INTERVAL_MS) return;
    this.#sweptAtMs = nowMs;
    [...this.#options.listCalls()]
      .filter(({ deadlineAtMs }) => deadlineAtMs <= nowMs)
      .forEach((call) => call.endOverdue());
  }

  #schedule(nowMs: number): void {
    this.#dueAtMs = nowMs + TICK_MS;
    this.#idleMsBefore = this.#measureIdleMs();
    this.#options.clock.setTimer(TICK_MS, () => this.#tick());
  }

  #tick(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#sweepIfLate(nowMs);
    const lateMs = Math.max(0, nowMs - (this.#dueAtMs ?? nowMs));
    // What a process waits for events beyond the interval is not its own work that delays it.
    const busyMs = lateMs + TICK_MS - (this.#measureIdleMs() - this.#idleMsBefore);
    const change = this.#gate.record(Math.max(0, Math.min(lateMs, busyMs)), nowMs);
    this.#dueAtMs = undefined;
    if (this.severity > 0 || nowMs - this.#lastCallAtMs < IDLE_MS) this.#schedule(nowMs);
    if (change) this.#options.onGateChange(change);
  }

  #measureIdleMs(): number {
    return this.#options.measureIdleMs?.() ?? 0;
  }
}
