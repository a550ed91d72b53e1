/**
 * The decisions of one dispatch group: who waits, who is refused, who runs where.
 *
 * @module
 */
import { ErrorKind } from '../errors/mod.js';
import { MAX_WAIT_MS, MAX_WAITING } from './admission.js';
import { DecisionKind } from './decision.js';
import type { Decision, RefusalDecision } from './decision.js';
import { OfferedLoad } from './offered_load.js';
import { Refuser } from './_refuser.js';
import { computeLateAt, SURE_PART, WAIT_RISK_FACTOR } from './_server_fit.js';
import { ServerPool } from './server_pool.js';
import { ServerVerdict } from './server_state.js';
import type { HeldSlot, ServerSpec, SlotResult } from './server_state.js';
import { SlotPlacer } from './_slot_placer.js';
import type { SlotDemand, WaitingDemand } from './slot_demand.js';
import type { SchedulingStrategy } from './strategy.js';
import type { Tier } from './tier.js';
import { WaitPredictor } from './_wait_predictor.js';
import type { Placement, WaitingQueue } from './waiting_queue.js';

/** What a group's scheduler is made of. */
export interface GroupSchedulerOptions {
  readonly strategy: SchedulingStrategy;
  /** Whether the group belongs to a plain service. */
  readonly isPlain: boolean;
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
  /** Gives random numbers in [0, 1). */
  readonly nextFraction: () => number;
}

/** How often at most tiers are reopened and outliers ejected, in milliseconds. */
const REVIEW_MS = 50;

/**
 * The pure state machine behind a dispatcher. It promises:
 *
 * - No refusal of a tier for lack of room, or for a deadline that the queue
 *   makes unreachable, while a lower tier's request waits; and no lower tier is
 *   admitted within `REOPEN_HOLD_MS` after it.
 * - No slot that a waiting request may use stays free after a call of `run`, but
 *   for at most `MAX_HOLD_MS` where a prefix that another cache holds would be
 *   computed again.
 */
export class GroupScheduler {
  readonly pool: ServerPool;

  readonly #options: GroupSchedulerOptions;

  readonly #strategy: SchedulingStrategy;

  readonly #queue: WaitingQueue;

  readonly #refuser: Refuser;

  readonly #waits: WaitPredictor;

  readonly #offered: OfferedLoad;

  #lastGrantId = 0;

  #reviewedAtMs = Number.NEGATIVE_INFINITY;

  /** Nothing that waits is too late before this time, on the monotonic clock. */
  #nextLateAtMs = Infinity;

  /** @param options - what it is made of */
  constructor(options: GroupSchedulerOptions) {
    this.#options = options;
    this.#strategy = options.strategy;
    this.#queue = options.strategy.createQueue();
    this.pool = new ServerPool(options.strategy, options.isPlain);
    this.#offered = new OfferedLoad(options.nowMs);
    this.#waits = new WaitPredictor(this.#queue, this.pool, options.nowMs);
    this.#refuser = new Refuser({
      strategy: options.strategy,
      queue: this.#queue,
      nextFraction: options.nextFraction,
      waits: this.#waits,
    });
  }

  /** How many wait. */
  get waitingCount(): number {
    return this.#queue.size;
  }

  /** Lowest tier that this group itself has open. */
  get openTier(): Tier {
    return this.#refuser.openTier;
  }

  /** @param tier - which tier. @returns how many of it wait */
  countWaiting(tier: Tier): number {
    return this.#queue.countTier(tier);
  }

  /** @returns everything that waits, in no order */
  listWaiting(): SlotDemand[] {
    return this.#queue.list().map(({ demand }) => demand);
  }

  /** @param specs - the group's backend servers. @param nowMs - monotonic time in milliseconds */
  updateServers(specs: readonly ServerSpec[], nowMs: number): void {
    this.pool.updateServers(specs, nowMs);
  }

  /**
   * Takes in a request.
   *
   * @param demand - the request
   * @param nowMs - monotonic time in milliseconds
   * @returns refusals, lower tiers' first; an empty list when it waits. `run` grants
   */
  submit(demand: SlotDemand, nowMs: number): RefusalDecision[] {
    const work = this.pool.predictWork(demand, nowMs);
    if (!work) return [this.#refuser.refuseUnservable(demand)];
    if (!this.#refuser.isOpen(demand.tier, nowMs))
      return [this.#refuser.refuseClosed(demand, nowMs)];
    const remainingMs = demand.deadlineAtMs - nowMs;
    if (remainingMs <= 0) return [this.#refuser.refuse(demand, ErrorKind.DeadlineExpired, 0)];
    const { predictsWaits } = this.#strategy;
    // Too long for its deadline on an empty group: no lack of room, nothing is closed.
    if (predictsWaits && work.leastMs * SURE_PART > remainingMs)
      return [this.#refuser.refuse(demand, ErrorKind.DeadlineUnreachable, 0)];
    this.#offered.observe(demand.tier, work.meanMs, nowMs);
    const leastMs = predictsWaits ? work.leastMs : 0;
    const lateAtMs = computeLateAt(demand, leastMs, this.pool.getMargin(demand.tier), nowMs);
    const waiting = { demand, workMs: work.meanMs, lateAtMs };
    return predictsWaits ? this.#admitInTime(waiting, nowMs) : this.#admit(waiting, nowMs);
  }

  /** @param key - whose owner no longer waits. @returns whether it waited */
  cancel(key: string): boolean {
    return this.#queue.remove(key) !== undefined;
  }

  /**
   * Takes a demand back without a decision, to be queued elsewhere.
   *
   * @returns every waiting demand; none waits any more
   */
  drainWaiting(): SlotDemand[] {
    const demands = this.listWaiting();
    demands.forEach(({ key }) => this.#queue.remove(key));
    return demands;
  }

  /**
   * Gives a slot back.
   *
   * @param grantId - which slot
   * @param result - how it was used
   * @param nowMs - monotonic time in milliseconds
   * @returns the slot; undefined when it isn't held any more
   */
  release(grantId: number, result: SlotResult, nowMs: number): HeldSlot | undefined {
    const slot = this.pool.release(grantId, result, nowMs);
    if (!slot) return undefined;
    const hasRun = [ServerVerdict.Healthy, ServerVerdict.Failing].includes(result.verdict);
    this.#waits.observe(nowMs, hasRun ? slot.meanWorkMs : 0);
    return slot;
  }

  /**
   * Takes in what other groups of the service say of their gates.
   *
   * @param openTier - lowest tier that every other group has open
   * @param untilMs - until when to believe it, on the monotonic clock
   * @param nowMs - monotonic time in milliseconds
   * @returns refusals of what waits below that tier
   */
  noteSiblings(openTier: Tier, untilMs: number, nowMs: number): RefusalDecision[] {
    return this.#refuser.noteSiblings(openTier, untilMs, nowMs);
  }

  /**
   * Does all that is due: refuses what can't make its deadline any more, reopens
   * tiers, ejects outliers, and grants every slot that somebody may use.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns the decisions, in order
   */
  run(nowMs: number): Decision[] {
    this.#waits.observe(nowMs);
    const refusals = nowMs >= this.#nextLateAtMs ? this.#expire(nowMs) : [];
    if (nowMs - this.#reviewedAtMs >= REVIEW_MS) this.#review(nowMs);
    return [...refusals, ...this.#grantAll(nowMs)];
  }

  /**
   * Predicts how long a new request would wait.
   *
   * @param tier - its tier
   * @param nowMs - monotonic time in milliseconds
   * @returns the wait in milliseconds; 0 when there is room
   */
  predictTierWait(tier: Tier, nowMs: number): number {
    return this.#waits.predictTierWait(tier, nowMs);
  }

  #review(nowMs: number): void {
    this.#reviewedAtMs = nowMs;
    this.#refuser.update(nowMs);
    this.pool.ejectOutliers(nowMs);
  }

  /** Admits what will probably be granted in time, within the bound of the tier's queue. */
  #admitInTime(waiting: WaitingDemand, nowMs: number): RefusalDecision[] {
    const { demand, lateAtMs } = waiting;
    const waitMs = this.#waits.predictWait(demand, nowMs);
    if (waitMs > 0 && nowMs + waitMs * WAIT_RISK_FACTOR > lateAtMs)
      return this.#refuser.refuseForRoom(demand, ErrorKind.DeadlineUnreachable, nowMs);
    if (waitMs <= MAX_WAIT_MS[demand.tier]) return this.#admit(waiting, nowMs);
    this.#add(waiting);
    return this.#refuser.refuseVictim(demand.tier, nowMs);
  }

  #add(waiting: WaitingDemand): void {
    this.#queue.add(waiting);
    this.#nextLateAtMs = Math.min(this.#nextLateAtMs, waiting.lateAtMs);
  }

  #admit(waiting: WaitingDemand, nowMs: number): RefusalDecision[] {
    this.#add(waiting);
    if (this.#queue.size <= MAX_WAITING) return [];
    return this.#refuser.refuseVictim(undefined, nowMs);
  }

  /** Refuses at once what waits and can't make its deadline any more, lowest tier first. */
  #expire(nowMs: number): RefusalDecision[] {
    const refusals = this.#queue
      .list()
      .filter((waiting) => waiting.lateAtMs <= nowMs)
      .sort((a, b) => b.demand.tier - a.demand.tier)
      .flatMap(({ demand }) => {
        // Refused meanwhile, when a higher tier's refusal closed its own.
        if (!this.#queue.remove(demand.key)) return [];
        const isOver = nowMs >= demand.deadlineAtMs;
        const reason = isOver ? ErrorKind.DeadlineExpired : ErrorKind.DeadlineUnreachable;
        return this.#refuser.refuseForRoom(demand, reason, nowMs);
      });
    this.#nextLateAtMs = this.#queue
      .list()
      .reduce((first, waiting) => Math.min(first, waiting.lateAtMs), Infinity);
    return refusals;
  }

  #grantAll(nowMs: number): Decision[] {
    const decisions: Decision[] = [];
    const { nextFraction } = this.#options;
    const { pool } = this;
    const placer = new SlotPlacer({ pool, offered: this.#offered, nowMs, nextFraction });
    for (
      let next = this.#queue.takeFirst(nowMs, placer);
      next;
      next = this.#queue.takeFirst(nowMs, placer)
    )
      decisions.push(this.#grant(next, nowMs));
    return [...decisions, ...this.#refuseLate(placer.listLate(), nowMs)];
  }

  /** Refuses what came to its turn and would run in vain wherever it ran. */
  #refuseLate(demands: readonly SlotDemand[], nowMs: number): RefusalDecision[] {
    return demands.flatMap((demand) =>
      this.#queue.remove(demand.key)
        ? this.#refuser.refuseForRoom(demand, ErrorKind.DeadlineUnreachable, nowMs)
        : [],
    );
  }

  #grant({ waiting, place }: Placement<string>, nowMs: number): Decision {
    const { demand, workMs } = waiting;
    this.#lastGrantId += 1;
    const grantId = this.#lastGrantId;
    const server = this.pool.findServer(place);
    const work = server?.predictWork(demand, nowMs) ?? { prefillTokens: 0, outputTokens: 0 };
    this.pool.acquire({
      grantId,
      demand,
      serverId: place,
      grantedAtMs: nowMs,
      workMs: server?.speed.predictWorkMs(work) ?? workMs,
      meanWorkMs: workMs,
      work,
    });
    return { kind: DecisionKind.Grant, demand, grantId, backendServerId: place };
  }
}
