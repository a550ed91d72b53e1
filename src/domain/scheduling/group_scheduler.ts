/**
 * Schedules one dispatch group: decides which requests wait, are refused, or run, and where.
 *
 * @module
 */
import { ErrorKind } from '../errors/mod.js';
import { MAX_WAIT_MS, MAX_WAITING_REQUESTS } from './admission.js';
import { DecisionKind } from './decision.js';
import type { Decision, RefusalDecision } from './decision.js';
import { OfferedLoad } from './offered_load.js';
import { RefusalPolicy } from './_refusal_policy.js';
import { computeLatestStartAtMs, MIN_WORK_FRACTION, WAIT_SAFETY_FACTOR } from './_server_fit.js';
import { ServerPool } from './server_pool.js';
import { ServerVerdict } from './server_state.js';
import type { HeldSlot, ServerSpec, SlotResult } from './server_state.js';
import { SlotPlacer } from './_slot_placer.js';
import type { SlotDemand, WaitingDemand } from './slot_demand.js';
import type { SchedulingStrategy } from './strategy.js';
import type { Tier } from './tier.js';
import { WaitPredictor } from './_wait_predictor.js';
import type { Placement, WaitingQueue } from './waiting_queue.js';

/** Dependencies and settings of a group scheduler. */
export interface GroupSchedulerOptions {
  readonly strategy: SchedulingStrategy;
  /** Whether the group belongs to a plain service. */
  readonly isPlain: boolean;
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
  /** Returns random numbers in [0, 1). */
  readonly nextFraction: () => number;
}

/** Shortest interval between checks for tiers to reopen and outliers to eject, in milliseconds. */
const REVIEW_INTERVAL_MS = 50;

/**
 * Pure state machine behind a dispatcher. It guarantees:
 *
 * - No request is refused for lack of capacity, or for a deadline that the queue makes
 *   unreachable, while a request of a lower tier waits; and no lower tier is admitted within
 *   `REOPEN_DELAY_MS` after such a refusal.
 * - No slot that a waiting request may use stays free after a call of `run`, except for at most
 *   `MAX_CACHE_DELAY_MS` where a prefix in another server's cache would be recomputed.
 */
export class GroupScheduler {
  readonly pool: ServerPool;

  readonly #options: GroupSchedulerOptions;

  readonly #strategy: SchedulingStrategy;

  readonly #queue: WaitingQueue;

  readonly #refusalPolicy: RefusalPolicy;

  readonly #waitPredictor: WaitPredictor;

  readonly #offeredLoad: OfferedLoad;

  #lastGrantId = 0;

  #lastReviewedAtMs = Number.NEGATIVE_INFINITY;

  /** No waiting demand reaches its latest start before this time, in monotonic milliseconds. */
  #nextExpiryAtMs = Infinity;

  /** @param options - dependencies and settings */
  constructor(options: GroupSchedulerOptions) {
    this.#options = options;
    this.#strategy = options.strategy;
    this.#queue = options.strategy.createQueue();
    this.pool = new ServerPool(options.strategy, options.isPlain);
    this.#offeredLoad = new OfferedLoad(options.nowMs);
    this.#waitPredictor = new WaitPredictor(this.#queue, this.pool, options.nowMs);
    this.#refusalPolicy = new RefusalPolicy({
      strategy: options.strategy,
      queue: this.#queue,
      nextFraction: options.nextFraction,
      waitPredictor: this.#waitPredictor,
    });
  }

  /** Number of waiting requests. */
  get waitingCount(): number {
    return this.#queue.size;
  }

  /** Lowest tier that this group itself has open, whatever its sibling groups report. */
  get openTier(): Tier {
    return this.#refusalPolicy.openTier;
  }

  /** @param tier - a tier. @returns number of its waiting requests */
  countWaiting(tier: Tier): number {
    return this.#queue.countTier(tier);
  }

  /** @returns all waiting requests, in no particular order */
  listWaiting(): SlotDemand[] {
    return this.#queue.list().map(({ demand }) => demand);
  }

  /** @param specs - the group's backend servers. @param nowMs - monotonic time in milliseconds */
  updateServers(specs: readonly ServerSpec[], nowMs: number): void {
    this.pool.updateServers(specs, nowMs);
  }

  /**
   * Admits or refuses a request. An admitted request waits until `run` grants it a slot.
   *
   * @param demand - the request
   * @param nowMs - monotonic time in milliseconds
   * @returns refusals, lower tiers first; empty if the request is admitted
   */
  submit(demand: SlotDemand, nowMs: number): RefusalDecision[] {
    const work = this.pool.predictWork(demand, nowMs);
    if (!work) return [this.#refusalPolicy.refuseUnservable(demand)];
    if (!this.#refusalPolicy.isOpen(demand.tier, nowMs))
      return [this.#refusalPolicy.refuseClosed(demand, nowMs)];
    const remainingMs = demand.deadlineAtMs - nowMs;
    if (remainingMs <= 0) return [this.#refusalPolicy.refuse(demand, ErrorKind.DeadlineExpired, 0)];
    const { hasWaitPrediction } = this.#strategy;
    // The deadline is too short even on an idle group. This is no lack of
    // capacity, so no tier closes.
    if (hasWaitPrediction && work.minMs * MIN_WORK_FRACTION > remainingMs)
      return [this.#refusalPolicy.refuse(demand, ErrorKind.DeadlineUnreachable, 0)];
    this.#offeredLoad.observe(demand.tier, work.meanMs, nowMs);
    const minWorkMs = hasWaitPrediction ? work.minMs : 0;
    const latestStartAtMs = computeLatestStartAtMs(
      demand,
      minWorkMs,
      this.pool.getMargin(demand.tier),
      nowMs,
    );
    const waiting = { demand, workMs: work.meanMs, latestStartAtMs };
    return hasWaitPrediction
      ? this.#admitByPredictedWait(waiting, nowMs)
      : this.#admit(waiting, nowMs);
  }

  /** @param key - key of a request whose owner stopped waiting. @returns whether it was waiting */
  cancel(key: string): boolean {
    return this.#queue.remove(key) !== undefined;
  }

  /**
   * Removes all waiting requests without a decision, so that they can be queued elsewhere.
   *
   * @returns the removed requests
   */
  drainWaiting(): SlotDemand[] {
    const demands = this.listWaiting();
    demands.forEach(({ key }) => this.#queue.remove(key));
    return demands;
  }

  /**
   * Releases a slot.
   *
   * @param grantId - grant that holds the slot
   * @param result - how the slot was used
   * @param nowMs - monotonic time in milliseconds
   * @returns the slot; undefined if it is no longer held
   */
  release(grantId: number, result: SlotResult, nowMs: number): HeldSlot | undefined {
    const slot = this.pool.release(grantId, result, nowMs);
    if (!slot) return undefined;
    const hasRun = [ServerVerdict.Healthy, ServerVerdict.Failing].includes(result.verdict);
    this.#waitPredictor.observe(nowMs, hasRun ? slot.meanWorkMs : 0);
    return slot;
  }

  /**
   * Applies the lowest open tier that the other groups of the service report.
   *
   * @param openTier - lowest tier that every other group has open
   * @param untilMs - expiry of the report, in monotonic milliseconds
   * @param nowMs - monotonic time in milliseconds
   * @returns refusals of the requests that wait below that tier
   */
  applySiblingTier(openTier: Tier, untilMs: number, nowMs: number): RefusalDecision[] {
    return this.#refusalPolicy.applySiblingTier(openTier, untilMs, nowMs);
  }

  /**
   * Performs all due work: refuses requests that can no longer meet their deadlines, reopens
   * tiers, ejects outliers, and grants every slot that a waiting request may use.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns the decisions, in order
   */
  run(nowMs: number): Decision[] {
    this.#waitPredictor.observe(nowMs);
    const refusals = nowMs >= this.#nextExpiryAtMs ? this.#expire(nowMs) : [];
    if (nowMs - this.#lastReviewedAtMs >= REVIEW_INTERVAL_MS) this.#review(nowMs);
    return [...refusals, ...this.#grantAll(nowMs)];
  }

  /**
   * Predicts how long a new request would wait.
   *
   * @param tier - tier of the request
   * @param nowMs - monotonic time in milliseconds
   * @returns the wait in milliseconds; 0 if there is capacity
   */
  predictTierWaitMs(tier: Tier, nowMs: number): number {
    return this.#waitPredictor.predictTierWaitMs(tier, nowMs);
  }

  #review(nowMs: number): void {
    this.#lastReviewedAtMs = nowMs;
    this.#refusalPolicy.update(nowMs);
    this.pool.ejectOutliers(nowMs);
  }

  /** Admits a request that will probably be granted in time, within the wait limit of its tier. */
  #admitByPredictedWait(waiting: WaitingDemand, nowMs: number): RefusalDecision[] {
    const { demand, latestStartAtMs } = waiting;
    const waitMs = this.#waitPredictor.predictWaitMs(demand, nowMs);
    if (waitMs > 0 && nowMs + waitMs * WAIT_SAFETY_FACTOR > latestStartAtMs)
      return this.#refusalPolicy.refuseForCapacity(demand, ErrorKind.DeadlineUnreachable, nowMs);
    if (waitMs <= MAX_WAIT_MS[demand.tier]) return this.#admit(waiting, nowMs);
    this.#add(waiting);
    return this.#refusalPolicy.refuseVictim(demand.tier, nowMs);
  }

  #add(waiting: WaitingDemand): void {
    this.#queue.add(waiting);
    this.#nextExpiryAtMs = Math.min(this.#nextExpiryAtMs, waiting.latestStartAtMs);
  }

  #admit(waiting: WaitingDemand, nowMs: number): RefusalDecision[] {
    this.#add(waiting);
    if (this.#queue.size <= MAX_WAITING_REQUESTS) return [];
    return this.#refusalPolicy.refuseVictim(undefined, nowMs);
  }

  /** Refuses waiting requests that can no longer meet their deadlines, lowest tier first. */
  #expire(nowMs: number): RefusalDecision[] {
    const refusals = this.#queue
      .list()
      .filter((waiting) => waiting.latestStartAtMs <= nowMs)
      .sort((a, b) => b.demand.tier - a.demand.tier)
      .flatMap(({ demand }) => {
        // The refusal of a higher tier has closed this tier and refused the
        // request already.
        if (!this.#queue.remove(demand.key)) return [];
        const hasExpired = nowMs >= demand.deadlineAtMs;
        const reason = hasExpired ? ErrorKind.DeadlineExpired : ErrorKind.DeadlineUnreachable;
        return this.#refusalPolicy.refuseForCapacity(demand, reason, nowMs);
      });
    this.#nextExpiryAtMs = this.#queue
      .list()
      .reduce((first, waiting) => Math.min(first, waiting.latestStartAtMs), Infinity);
    return refusals;
  }

  #grantAll(nowMs: number): Decision[] {
    const decisions: Decision[] = [];
    const { nextFraction } = this.#options;
    const { pool } = this;
    const placer = new SlotPlacer({ pool, offered: this.#offeredLoad, nowMs, nextFraction });
    for (
      let next = this.#queue.takeFirst(nowMs, placer);
      next;
      next = this.#queue.takeFirst(nowMs, placer)
    )
      decisions.push(this.#grant(next, nowMs));
    return [...decisions, ...this.#refuseUnreachable(placer.listUnreachable(), nowMs)];
  }

  /** Refuses requests whose turn has come but which would miss their deadlines. */
  #refuseUnreachable(demands: readonly SlotDemand[], nowMs: number): RefusalDecision[] {
    return demands.flatMap((demand) =>
      this.#queue.remove(demand.key)
        ? this.#refusalPolicy.refuseForCapacity(demand, ErrorKind.DeadlineUnreachable, nowMs)
        : [],
    );
  }

  #grant({ waiting, target }: Placement<string>, nowMs: number): Decision {
    const { demand, workMs } = waiting;
    this.#lastGrantId += 1;
    const grantId = this.#lastGrantId;
    const server = this.pool.findServer(target);
    const work = server?.predictWork(demand, nowMs) ?? { prefillTokens: 0, outputTokens: 0 };
    this.pool.acquire({
      grantId,
      demand,
      serverId: target,
      grantedAtMs: nowMs,
      workMs: server?.speed.predictWorkMs(work) ?? workMs,
      meanWorkMs: workMs,
      work,
    });
    return { kind: DecisionKind.Grant, demand, grantId, backendServerId: target };
  }
}
