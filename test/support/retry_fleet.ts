/**
 * Simulates the retries of entry hosts that share a budget and nothing else.
 *
 * @module
 */
import { RetryBudgetShare } from '../../src/domain/direct/mod.js';
import type { RetryBounds } from '../../src/domain/direct/mod.js';

/** Time after its start in which a host knows no other, in milliseconds. */
const DISCOVERY_MS = 500;

/** What happens to a host next. */
export enum RetryEventKind {
  /** A request arrives at a backend server for the first time. */
  Attempt = 'attempt',
  /** Requests fail, and the host retries each of them if it may. */
  Retries = 'retries',
  /** The host's process ends and starts again. */
  Restart = 'restart',
}

/** One event. */
export interface RetryEvent {
  readonly kind: RetryEventKind;
  readonly host: number;
  /** Time since the previous event, in milliseconds. */
  readonly passMs: number;
  /** Number of retries that the host asks for. */
  readonly count: number;
  /** Time until a retry arrives, or until the host learns that an attempt arrived. */
  readonly delayMs: number;
}

/** How the hosts of a {@link RetryFleet} find each other. */
export interface RetryFleetOptions {
  readonly bounds: RetryBounds;
  readonly hosts: number;
  /** Number of groups of hosts that never hear of each other. */
  readonly sides: number;
}

interface SimulatedHost {
  share: RetryBudgetShare;
  startedAtMs: number;
}

/** Entry hosts of one service and what has arrived at it. */
export class RetryFleet {
  /** When each first attempt arrived, in milliseconds. */
  readonly attemptTimes: number[] = [];

  /** When each retry arrived, in milliseconds. */
  readonly retryTimes: number[] = [];

  readonly #options: RetryFleetOptions;

  readonly #hosts: SimulatedHost[];

  /** Attempts whose arrival the hosts have not learned yet. */
  #unlearned: { readonly atMs: number; readonly share: RetryBudgetShare }[] = [];

  #nowMs = 0;

  constructor(options: RetryFleetOptions) {
    this.#options = options;
    this.#hosts = Array.from({ length: options.hosts }, () => this.#createHost());
  }

  /** Plays events in order. */
  play(events: readonly RetryEvent[]): void {
    events.forEach((event) => {
      this.#nowMs += event.passMs;
      this.#learnArrivals();
      this.#apply(event);
    });
  }

  #apply({ kind, host: index, count, delayMs }: RetryEvent): void {
    const host = this.#hosts[index % this.#hosts.length] as SimulatedHost;
    if (kind === RetryEventKind.Restart) Object.assign(host, this.#createHost());
    else if (kind === RetryEventKind.Attempt) {
      this.attemptTimes.push(this.#nowMs);
      this.#unlearned.push({ atMs: this.#nowMs + delayMs, share: host.share });
    } else {
      const known = this.#countKnown(index, host);
      for (let left = count; left > 0; left -= 1) {
        if (host.share.takeRetry(this.#nowMs, known).isGranted) {
          this.retryTimes.push(this.#nowMs + delayMs);
        }
      }
    }
  }

  /** Hosts that have just started know themselves alone, and later those of their side. */
  #countKnown(index: number, { startedAtMs }: SimulatedHost): number {
    const { hosts, sides } = this.#options;
    if (this.#nowMs - startedAtMs < DISCOVERY_MS) return 1;
    const side = (index % hosts) % sides;
    return Array.from({ length: hosts }, (_, other) => other % sides).filter(
      (otherSide) => otherSide === side,
    ).length;
  }

  #learnArrivals(): void {
    const due = this.#unlearned.filter(({ atMs }) => atMs <= this.#nowMs);
    due.forEach(({ atMs, share }) => share.recordAttempt(atMs));
    this.#unlearned = this.#unlearned.filter(({ atMs }) => atMs > this.#nowMs);
  }

  #createHost(): SimulatedHost {
    return { share: new RetryBudgetShare(this.#options.bounds), startedAtMs: this.#nowMs };
  }
}

/** Counts the times in `[fromMs, untilMs)`. */
export function countWithin(times: readonly number[], fromMs: number, untilMs: number): number {
  return times.filter((atMs) => atMs >= fromMs && atMs < untilMs).length;
}

/**
 * Computes by how much the worst window exceeds the budget of a service. First attempts count in
 * the window itself, the one before it, or the one half a window before it, whichever has most.
 *
 * @param fleet - what has arrived
 * @param bounds - budget of the service
 * @returns retries beyond the budget; 0 or less if it was kept
 */
export function measureRetryExcess(
  { attemptTimes, retryTimes }: RetryFleet,
  { ratio, slack, windowMs }: RetryBounds,
): number {
  const excesses = retryTimes.map((fromMs) => {
    const counts = [0, windowMs / 2, windowMs].map((earlierMs) =>
      countWithin(attemptTimes, fromMs - earlierMs, fromMs - earlierMs + windowMs),
    );
    const retries = countWithin(retryTimes, fromMs, fromMs + windowMs);
    return retries - ratio * Math.max(...counts) - slack;
  });
  return Math.max(0, ...excesses);
}
