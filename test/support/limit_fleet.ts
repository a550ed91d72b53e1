/**
 * Simulates entry hosts that exchange reports, and backend servers that name rate limits, over
 * fakes.
 *
 * @module
 */
import type { Test } from 'tap';
import { BackendFailure } from '../../src/ports/mod.js';
import type { FakeExchange } from './direct_ends.js';
import { DirectFleet } from './direct_fleet.js';
import type { DirectFleetOptions } from './direct_fleet.js';
import type { SeededRandom } from './fakes.js';
import { settle } from './virtual_clock.js';

const MS_PER_SECOND = 1_000;

/** How a server answers. */
export enum AnswerKind {
  Success = 'success',
  Stream = 'stream',
  /** The server declares that it did not run the request. */
  Decline = 'decline',
  Error = 'error',
}

/** Options of a {@link LimitFleet}. */
export interface LimitFleetOptions extends DirectFleetOptions {
  /** Average duration of a request, in milliseconds. Default: 200. */
  readonly runMs?: number;
  /** Picks how a server answers a request. Default: success. */
  readonly pickAnswer?: (random: SeededRandom) => AnswerKind;
}

/** The arrival of a request at a server. */
export interface LimitedArrival {
  readonly atMs: number;
  readonly serverId: string;
  readonly hostId: string;
}

/** Entry hosts and servers that name the rate limits that a test sets. */
export class LimitFleet extends DirectFleet {
  readonly arrivals: LimitedArrival[] = [];

  /** Requests a second that each server names in its answers at present. */
  readonly limits = new Map<string, number>();

  /** When each entry host received an answer that names a limit first, by server and host. */
  readonly toldAtMs = new Map<string, number>();

  /** When each server first named a limit. */
  readonly namedAtMs = new Map<string, number>();

  readonly #options: LimitFleetOptions;

  constructor(t: Test, options: LimitFleetOptions) {
    super(t, options);
    this.#options = options;
  }

  /** @returns the arrivals at a server from a given time on */
  listArrivals(serverId: string, fromMs = 0, untilMs = Infinity): LimitedArrival[] {
    return this.arrivals.filter(
      (arrival) =>
        arrival.serverId === serverId && arrival.atMs >= fromMs && arrival.atMs < untilMs,
    );
  }

  /**
   * Counts the arrivals in the fullest window.
   *
   * @param serverId - a server
   * @param windowMs - length of the window, in milliseconds
   * @param fromMs - earliest start of a window, on the monotonic clock
   * @returns the largest count of any window
   */
  countMostArrivals(serverId: string, windowMs: number, fromMs: number): number {
    const times = this.listArrivals(serverId, fromMs).map(({ atMs }) => atMs);
    let first = 0;
    let most = 0;
    times.forEach((atMs, index) => {
      while ((times[first] as number) <= atMs - windowMs) first += 1;
      most = Math.max(most, index - first + 1);
    });
    return most;
  }

  protected override serve(hostId: string, exchange: FakeExchange): void {
    const { serverId } = exchange.request;
    this.arrivals.push({ atMs: this.clock.nowMs(), serverId, hostId });
    const { runMs = 200, pickAnswer = () => AnswerKind.Success } = this.#options;
    const kind = pickAnswer(this.random);
    const durationMs = runMs * (0.5 + this.random.nextFraction());
    this.clock.setTimer(durationMs, () => {
      if (!exchange.isCancelled) this.#answer(hostId, exchange, kind);
    });
  }

  #answer(hostId: string, exchange: FakeExchange, kind: AnswerKind): void {
    const { serverId } = exchange.request;
    const limit = this.limits.get(serverId);
    if (limit !== undefined) {
      const nowMs = this.clock.nowMs();
      const key = `${serverId} ${hostId}`;
      if (!this.namedAtMs.has(serverId)) this.namedAtMs.set(serverId, nowMs);
      if (!this.toldAtMs.has(key)) this.toldAtMs.set(key, nowMs);
    }
    exchange.sendRateLimit(limit, kind !== AnswerKind.Decline);
    if (kind === AnswerKind.Decline) exchange.fail(BackendFailure.Declined);
    else if (kind === AnswerKind.Error) exchange.sendResponse(500);
    else if (kind === AnswerKind.Stream) {
      exchange.sendHead({ isEventStream: true });
      exchange.events(1, 2);
      exchange.listener.onComplete();
    } else exchange.sendResponse();
  }
}

/** Limit that a rule sets: arrivals that count, within a window. */
export interface LimitRule {
  readonly windowMs: number;
  /** Factor on what the named limit allows in the window. */
  readonly factor: number;
  /** Requests beyond that. */
  readonly slack: number;
  /** Time from the first answer that names the limit until the rule holds, in milliseconds. */
  readonly graceMs: number;
  /** Age of a host's knowledge from which its requests count, in milliseconds. */
  readonly toldForMs: number;
}

/** What a server in need tolerates from all entry hosts that it has told. */
export const TOLERATED_LIMIT: LimitRule = {
  windowMs: 4_000,
  factor: 1.5,
  slack: 5,
  graceMs: 3_000,
  toldForMs: 500,
};

/**
 * Counts the arrivals that exceed a rule in the fullest window.
 *
 * @param fleet - the fleet
 * @param serverId - a server whose limit has not changed
 * @param requestsPerSecond - the limit that it names
 * @param rule - the rule
 * @returns arrivals beyond what the rule allows; 0 or less if it was kept
 */
export function measureLimitExcess(
  fleet: LimitFleet,
  serverId: string,
  requestsPerSecond: number,
  rule = TOLERATED_LIMIT,
): number {
  const namedAtMs = fleet.namedAtMs.get(serverId);
  if (namedAtMs === undefined) throw new Error(`Cannot check ${serverId}: it named no limit`);
  const counted = fleet
    .listArrivals(serverId)
    .filter(
      ({ atMs, hostId }) =>
        atMs - (fleet.toldAtMs.get(`${serverId} ${hostId}`) ?? Infinity) >= rule.toldForMs,
    )
    .map(({ atMs }) => atMs);
  const counts = counted
    .filter((endMs) => endMs >= namedAtMs + rule.graceMs)
    .map((endMs) => counted.filter((atMs) => atMs > endMs - rule.windowMs && atMs <= endMs).length);
  const allowed = (rule.factor * requestsPerSecond * rule.windowMs) / MS_PER_SECOND + rule.slack;
  return Math.max(0, ...counts) - allowed;
}

/** Lets pending messages arrive. */
export { settle };
