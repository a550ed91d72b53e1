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

/** Longest time of {@link RetryEvent.delayMs}. */
export const MAX_DELAY_MS = 1_000;

/** Longest time of {@link RetryEvent.lagMs}: one slice of a window of ten seconds. */
export const MAX_LAG_MS = 500;

/** One event. */
export interface RetryEvent {
  readonly kind: RetryEventKind;
  readonly host: number;
  /** Time since the previous event, in milliseconds. */
  readonly passMs: number;
  /** Number of retries that the host asks for. */
  readonly count: number;
  /** Time until a retry is sent, or until the host learns that an attempt arrived. */
  readonly delayMs: number;
  /** Time from a retry's sending to its arrival. */
  readonly lagMs: number;
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

  /** What the hosts do later, in any order. */
  #scheduled: { readonly atMs: number; readonly run: () => void }[] = [];

  #nowMs = 0;

  constructor(options: RetryFleetOptions) {
    this.#options = options;
    this.#hosts = Array.from({ length: options.hosts }, () => this.#createHost());
  }

  /** Plays events in order. */
  play(events: readonly RetryEvent[]): void {
    events.forEach((event) => {
      this.#nowMs += event.passMs;
      this.#runScheduled();
      this.#apply(event);
    });
  }

  #apply({ kind, host: index, count, delayMs, lagMs }: RetryEvent): void {
    const host = this.#hosts[index % this.#hosts.length] as SimulatedHost;
    const { share } = host;
    const atMs = this.#nowMs + delayMs;
    if (kind === RetryEventKind.Restart) Object.assign(host, this.#createHost());
    else if (kind === RetryEventKind.Attempt) {
      this.attemptTimes.push(this.#nowMs);
      this.#scheduled.push({ atMs, run: () => share.recordAttempt(atMs) });
    } else {
      const known = this.#countKnown(index, host);
      for (let left = count; left > 0; left -= 1) {
        if (share.takeRetry(this.#nowMs, known).isGranted) {
          this.#scheduled.push({ atMs, run: () => this.#sendRetry(host, share, atMs, lagMs) });
        }
      }
    }
  }

  /** Sends a retry, unless its host's process has ended. */
  #sendRetry(host: SimulatedHost, share: RetryBudgetShare, atMs: number, lagMs: number): void {
    if (host.share !== share) return;
    share.recordRetrySent(atMs);
    this.retryTimes.push(atMs + lagMs);
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

  #runScheduled(): void {
    const due = this.#scheduled.filter(({ atMs }) => atMs <= this.#nowMs);
    this.#scheduled = this.#scheduled.filter(({ atMs }) => atMs > this.#nowMs);
    due.sort((a, b) => a.atMs - b.atMs).forEach(({ run }) => run());
  }

  #createHost(): SimulatedHost {
    const share = new RetryBudgetShare(this.#options.bounds, this.#nowMs);
    return { share, startedAtMs: this.#nowMs };
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

/**
 * Computes by how much the worst window exceeds what the hosts can send at most: half of the ratio
 * for the first attempts of the window and of the one before it, and two fifths of the slack for
 * each side. Attempts count earlier by the time in which hosts learn of them and retries arrive.
 *
 * @param fleet - what has arrived
 * @param bounds - budget of the service
 * @param sides - number of groups of hosts that never hear of each other
 * @returns retries beyond that; 0 or less if the formula holds
 */
export function measureFormulaExcess(
  { attemptTimes, retryTimes }: RetryFleet,
  { ratio, slack, windowMs }: RetryBounds,
  sides: number,
): number {
  const excesses = retryTimes.map((fromMs) => {
    const untilMs = fromMs + windowMs;
    const earliestMs = fromMs - windowMs - MAX_DELAY_MS - MAX_LAG_MS;
    const attempts = countWithin(attemptTimes, earliestMs, untilMs);
    const retries = countWithin(retryTimes, fromMs, untilMs);
    return retries - 0.5 * ratio * attempts - 0.4 * slack * sides;
  });
  return Math.max(0, ...excesses);
}
