/**
 * Simulates entry hosts before servers that fail when they must turn many requests away, over
 * fakes.
 *
 * @module
 */
import type { Test } from 'tap';
import { BackendFailure, RateLimitKind } from '../../src/ports/mod.js';
import type { FakeExchange } from './direct_ends.js';
import { DirectFleet } from './direct_fleet.js';
import type { DirectFleetOptions } from './direct_fleet.js';

/** Time until an answer or a refusal arrives, in milliseconds. */
const ROUND_TRIP_MS = 4;

const MS_PER_SECOND = 1_000;

/** Options of a {@link RefusalFleet}. */
export interface RefusalFleetOptions extends DirectFleetOptions {
  /** Refusals a second that each server bears, and names in its answers. */
  readonly declinesPerSecond: number;
  /** Average duration of a request, in milliseconds. */
  readonly runMs: number;
}

/** A request that a server had no room for. */
export interface Refusal {
  readonly atMs: number;
  readonly serverId: string;
}

/** Entry hosts and servers that run as many requests as they have slots and keep none waiting. */
export class RefusalFleet extends DirectFleet {
  readonly refusals: Refusal[] = [];

  /** Whether the servers name their limit in their answers. */
  isNamed = false;

  readonly #running = new Map<string, number>();

  readonly #options: RefusalFleetOptions;

  /** Slot time that was used since the last reset, in milliseconds. */
  #usedMs = 0;

  constructor(t: Test, options: RefusalFleetOptions) {
    super(t, options);
    this.#options = options;
  }

  /** Slots of all servers. */
  get slotCount(): number {
    return this.#options.servers * this.#slots;
  }

  /** Computes how many requests a second all servers together can run. */
  computeCapacity(): number {
    return (this.slotCount * MS_PER_SECOND) / this.#options.runMs;
  }

  /** Starts to measure the use of the slots. */
  resetUse(): void {
    this.#usedMs = 0;
  }

  /** Computes the fraction of all slots that was used in a time. */
  computeUse(durationMs: number): number {
    return this.#usedMs / (durationMs * this.slotCount);
  }

  /** Counts the refusals of one server in its fullest second. */
  countMostRefusals(fromMs: number): number {
    const counts = this.refusals
      .filter(({ atMs }) => atMs >= fromMs)
      .map(({ atMs, serverId }) =>
        this.refusals.filter(
          (other) =>
            other.serverId === serverId &&
            other.atMs >= fromMs &&
            other.atMs > atMs - MS_PER_SECOND &&
            other.atMs <= atMs,
        ),
      );
    return Math.max(0, ...counts.map(({ length }) => length));
  }

  get #slots(): number {
    return this.#options.slots ?? 11;
  }

  protected override serve(_hostId: string, exchange: FakeExchange): void {
    const { serverId } = exchange.request;
    const running = this.#running.get(serverId) ?? 0;
    if (running >= this.#slots) {
      this.refusals.push({ atMs: this.clock.nowMs(), serverId });
      this.clock.setTimer(ROUND_TRIP_MS, () => {
        if (exchange.isCancelled) return;
        this.#sendLimit(exchange);
        exchange.fail(BackendFailure.Declined);
      });
      return;
    }
    this.#running.set(serverId, running + 1);
    const startedAtMs = this.clock.nowMs();
    const durationMs = this.#options.runMs * (0.5 + this.random.nextFraction());
    this.clock.setTimer(durationMs, () => {
      this.#running.set(serverId, (this.#running.get(serverId) ?? 0) - 1);
      this.#usedMs += this.clock.nowMs() - startedAtMs;
      if (exchange.isCancelled) return;
      this.#sendLimit(exchange);
      exchange.sendResponse();
    });
  }

  #sendLimit({ listener }: FakeExchange): void {
    const { declinesPerSecond } = this.#options;
    const limit = this.isNamed ? { declinesPerSecond } : {};
    listener.onNotice({ kind: RateLimitKind.None, ...limit }, true);
  }
}
