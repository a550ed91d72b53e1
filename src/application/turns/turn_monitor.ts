/**
 * Measures how long this process works without handing the processor back to its event loop.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { Clock, EventLog, Metrics, Timer } from '../../ports/mod.js';
import { TurnTask } from './turn_task.js';
import type { TurnTaskName } from './turn_task.js';

/** Interval of the timer whose lateness is measured, in milliseconds. */
const TICK_MS = 100;

/** Length from which on a turn is logged and counted, in milliseconds. */
const LONG_TURN_MS = 200;

/** Dependencies of a {@link TurnMonitor}. */
export interface TurnMonitorOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** @returns processor time that this process has used so far, in milliseconds */
  readonly measureProcessorMs: () => number;
}

/**
 * Finds the longest turns by a timer that they delay, and what they did by the tasks that are run
 * through it.
 */
export class TurnMonitor {
  readonly #options: TurnMonitorOptions;

  /** Time that each task took since the last tick, in milliseconds, without tasks inside it. */
  readonly #taskMs = new Map<TurnTaskName, number>();

  /** Time that tasks inside the one under way have taken, in milliseconds. */
  #innerMs = 0;

  /** Longest task that was run since the last tick, in milliseconds. */
  #longestTaskMs = 0;

  #longestTurnMs = 0;

  #dueAtMs = Infinity;

  #processorMsBefore = 0;

  #timer: Timer | undefined;

  /** @param options - dependencies */
  constructor(options: TurnMonitorOptions) {
    this.#options = options;
  }

  /** Starts the timer that long turns delay. */
  start(): void {
    this.#options.metrics.set('longest_turn_ms', 0);
    this.#schedule();
  }

  /** Stops the timer. */
  stop(): void {
    this.#timer?.cancel();
  }

  /**
   * Runs a task to its end and notes how long it took.
   *
   * @param task - what is done
   * @param work - does it, without waiting for anything
   * @returns the result of the work
   * @throws what the work throws
   */
  run<T>(task: TurnTaskName, work: () => T): T {
    const { clock } = this.#options;
    const startedAtMs = clock.nowMs();
    const siblingsMs = this.#innerMs;
    this.#innerMs = 0;
    try {
      return work();
    } finally {
      const tookMs = clock.nowMs() - startedAtMs;
      const ownMs = tookMs - this.#innerMs;
      this.#taskMs.set(task, (this.#taskMs.get(task) ?? 0) + ownMs);
      this.#longestTaskMs = Math.max(this.#longestTaskMs, tookMs);
      this.#innerMs = siblingsMs + tookMs;
    }
  }

  #schedule(): void {
    const { clock, measureProcessorMs } = this.#options;
    this.#taskMs.clear();
    this.#longestTaskMs = 0;
    this.#processorMsBefore = measureProcessorMs();
    this.#dueAtMs = clock.nowMs() + TICK_MS;
    this.#timer = clock.setTimer(TICK_MS, () => this.#tick());
  }

  #tick(): void {
    const lateMs = this.#options.clock.nowMs() - this.#dueAtMs;
    this.#recordTurn(Math.max(lateMs, this.#longestTaskMs));
    this.#schedule();
  }

  #recordTurn(turnMs: number): void {
    const { log, metrics, measureProcessorMs } = this.#options;
    if (turnMs > this.#longestTurnMs) {
      this.#longestTurnMs = turnMs;
      metrics.set('longest_turn_ms', Math.round(turnMs));
    }
    if (turnMs < LONG_TURN_MS) return;
    const { task, taskMs } = this.#findMainTask(turnMs);
    metrics.count('long_turns_total', { task });
    log.write(LogLevel.Warn, 'long_turn', {
      turnMs: Math.round(turnMs),
      task,
      taskMs: Math.round(taskMs),
      processorMs: Math.round(measureProcessorMs() - this.#processorMsBefore),
    });
  }

  /** Finds the task that took most of a turn, or says that it was something else. */
  #findMainTask(turnMs: number): { readonly task: TurnTaskName; readonly taskMs: number } {
    const known = [...this.#taskMs].map(([task, taskMs]) => ({ task, taskMs }));
    const knownMs = known.reduce((sum, { taskMs }) => sum + taskMs, 0);
    const other = { task: TurnTask.Other, taskMs: Math.max(0, turnMs - knownMs) };
    return known.reduce((longest, each) => (each.taskMs > longest.taskMs ? each : longest), other);
  }
}
