/**
 * The backend servers of one dispatch group: capacity, choice and ejection.
 *
 * @module
 */
import { buildCandidates, isWorthDelaying, predictRecomputedTokens } from './_cache_cost.js';
import { OutlierEjector } from './outlier_ejection.js';
import { OverrunMeter } from './_overrun_meter.js';
import { computeSafeWorkMs, filterAcceptable, isTooLate, estimateWorkMs } from './_server_fit.js';
import { ServerState, ServerVerdict } from './server_state.js';
import type { HeldSlot, ServerSpec, SlotResult } from './server_state.js';
import type { SlotDemand } from './slot_demand.js';
import type { SchedulingStrategy } from './strategy.js';
import { Tier, TIERS } from './tier.js';

/** Predicted work of one request in a group, in milliseconds of one slot. */
export interface GroupWork {
  /** On the fastest backend server for the request. */
  readonly minMs: number;
  /** Average over the usable backend servers. */
  readonly meanMs: number;
}

/** Tracks the group's backend servers and the slots held on them. */
export class ServerPool {
  readonly #servers = new Map<string, ServerState>();

  readonly #ejector = new OutlierEjector();

  readonly #held = new Map<number, HeldSlot>();

  readonly #heldByTier: Record<Tier, number> = {
    [Tier.Urgent]: 0,
    [Tier.Standard]: 0,
    [Tier.Batch]: 0,
  };

  readonly #overrunMeters: Readonly<Record<Tier, OverrunMeter>> = {
    [Tier.Urgent]: new OverrunMeter(),
    [Tier.Standard]: new OverrunMeter(),
    [Tier.Batch]: new OverrunMeter(),
  };

  #heldWorkMs = 0;

  #share = 1;

  /**
   * @param strategy - scheduling strategy
   * @param isPlain - whether the group belongs to a plain service
   */
  constructor(
    readonly strategy: SchedulingStrategy,
    readonly isPlain: boolean,
  ) {}

  /** Number of held slots. */
  get heldCount(): number {
    return this.#held.size;
  }

  /** Mean predicted work of the held slots, in milliseconds; 0 if there are none. */
  get meanHeldWorkMs(): number {
    return this.#held.size === 0 ? 0 : this.#heldWorkMs / this.#held.size;
  }

  /** @param tier - a tier. @returns number of slots that it and lower tiers hold */
  countHeldAtOrBelow(tier: Tier): number {
    return TIERS.reduce((sum, other) => sum + (other >= tier ? this.#heldByTier[other] : 0), 0);
  }

  /** @param tier - a tier. @returns multiple of predicted time in which a request probably ends */
  getMargin(tier: Tier): number {
    return this.#overrunMeters[tier].margin;
  }

  /** @param share - fraction of each window that may be used, above 0 to 1 */
  setShare(share: number): void {
    this.#share = Math.min(1, Math.max(0, share));
  }

  /**
   * Applies the configured backend servers. Servers added after the first call begin with a slow
   * start; slots held on removed servers stay held until their release.
   *
   * @param specs - all backend servers of the group
   * @param nowMs - monotonic time in milliseconds
   */
  updateServers(specs: readonly ServerSpec[], nowMs: number): void {
    const isInitial = this.#servers.size === 0;
    const ids = new Set(specs.map(({ id }) => id));
    this.#servers.forEach((_, id) => ids.has(id) || this.#servers.delete(id));
    specs.forEach((spec) => {
      const known = this.#servers.get(spec.id);
      const server = known ?? new ServerState(spec, this.isPlain);
      const hasReturned = known?.spec.isLeaving === true && !spec.isLeaving;
      if (hasReturned || (!known && !isInitial)) server.reset(nowMs);
      server.spec = spec;
      this.#servers.set(spec.id, server);
    });
  }

  /** @param id - a backend server. @returns its state; undefined if it is not in the group */
  findServer(id: string): ServerState | undefined {
    return this.#servers.get(id);
  }

  /** @param grantId - a grant. @returns its slot; undefined if it is no longer held */
  findHeld(grantId: number): HeldSlot | undefined {
    return this.#held.get(grantId);
  }

  /** @returns all held slots */
  listHeld(): HeldSlot[] {
    return [...this.#held.values()];
  }

  /** @returns all backend servers of the group */
  listServers(): ServerState[] {
    return [...this.#servers.values()];
  }

  /** @param nowMs - monotonic time. @returns IDs of the ejected backend servers */
  listEjected(nowMs: number): string[] {
    return [...this.#servers.keys()].filter((id) => this.#ejector.isEjected(id, nowMs));
  }

  /** @param nowMs - monotonic time. @returns slots that may be held at once here, at least 1 */
  computeWindow(nowMs: number): number {
    const totalSize = this.listServers()
      .filter((server) => !server.isLeaving && !this.#ejector.isEjected(server.spec.id, nowMs))
      .reduce((sum, server) => sum + server.window.getSize(nowMs), 0);
    return Math.max(1, Math.floor(totalSize * this.#share));
  }

  /**
   * Lists the backend servers that may serve a request. Ejected servers are included only if
   * there is no other: an unreliable server is better than none.
   *
   * @param demand - the request
   * @param nowMs - monotonic time in milliseconds
   * @returns the backend servers, with or without capacity
   */
  listUsable(demand: SlotDemand, nowMs: number): ServerState[] {
    return this.#listEligible(nowMs, demand.excluded);
  }

  /**
   * Returns whether any backend server has capacity for a tier.
   *
   * @param tier - the tier
   * @param isAged - whether aging lets the request use the reserve for higher tiers
   * @param nowMs - monotonic time in milliseconds
   */
  hasCapacity(tier: Tier, isAged: boolean, nowMs: number): boolean {
    if (this.#share < 1 && this.#held.size >= this.computeWindow(nowMs)) return false;
    return this.#listEligible(nowMs, []).some((server) =>
      this.#hasServerCapacity(server, tier, isAged, nowMs),
    );
  }

  /**
   * Predicts a request's work in this group.
   *
   * @param demand - the request
   * @param nowMs - monotonic time in milliseconds
   * @returns its work; undefined if no backend server may serve it
   */
  predictWork(demand: SlotDemand, nowMs: number): GroupWork | undefined {
    const works = this.listUsable(demand, nowMs).map((server) =>
      server.speed.predictWorkMs(server.predictWork(demand, nowMs)),
    );
    if (works.length === 0) return undefined;
    const sum = works.reduce((total, workMs) => total + workMs, 0);
    return { minMs: Math.min(...works), meanMs: sum / works.length };
  }

  /**
   * Picks a backend server with capacity.
   *
   * @param demand - the request
   * @param isAged - whether aging lets the request use the reserve for higher tiers
   * @param nowMs - monotonic time in milliseconds
   * @param nextFraction - returns random numbers in [0, 1)
   * @returns ID of the server; undefined if the request should keep waiting
   */
  pickServer(
    demand: SlotDemand,
    isAged: boolean,
    nowMs: number,
    nextFraction: () => number,
  ): string | undefined {
    const usable = this.listUsable(demand, nowMs);
    const available = usable
      .filter((server) => this.#hasServerCapacity(server, demand.tier, isAged, nowMs))
      .map((server) => ({ server, workMs: estimateWorkMs(server, demand, nowMs) }));
    if (available.length === 0) return undefined;
    const safeWorkMs = this.strategy.isDeadlineAware
      ? computeSafeWorkMs(demand, this.getMargin(demand.tier), nowMs)
      : Infinity;
    const safe = available.filter(({ workMs }) => workMs <= safeWorkMs);
    const acceptable = safe.length > 0 ? safe : filterAcceptable(available, usable, demand, nowMs);
    const comparedServers = this.strategy.isCacheAware ? usable : [];
    const candidates = buildCandidates(acceptable, comparedServers, demand, nowMs);
    return this.strategy.pickServer(candidates, nextFraction)?.id;
  }

  /**
   * @param demand - a request
   * @param serverId - backend server that would run it
   * @param nowMs - monotonic time in milliseconds
   * @returns prompt tokens to recompute there although another server's cache holds them
   */
  predictRecomputedTokens(demand: SlotDemand, serverId: string, nowMs: number): number {
    const server = this.#servers.get(serverId);
    if (!server || !this.strategy.isCacheAware) return 0;
    return predictRecomputedTokens(server, this.listUsable(demand, nowMs), demand, nowMs);
  }

  /**
   * @param demand - a request
   * @param serverId - backend server that would run it
   * @param nowMs - monotonic time in milliseconds
   * @returns whether to leave the slot idle for a moment instead
   */
  isWorthDelaying(demand: SlotDemand, serverId: string, nowMs: number): boolean {
    const server = this.#servers.get(serverId);
    if (!server || !this.strategy.isCacheAware) return false;
    return isWorthDelaying(server, this.listUsable(demand, nowMs), demand, nowMs);
  }

  /**
   * Returns whether a waiting request has too little time left to start on any backend server.
   *
   * @param demand - the request
   * @param nowMs - monotonic time in milliseconds
   */
  isTooLate(demand: SlotDemand, nowMs: number): boolean {
    if (!this.strategy.isDeadlineAware) return false;
    return isTooLate(this.listUsable(demand, nowMs), demand, nowMs);
  }

  /** @param slot - a newly granted slot */
  acquire(slot: HeldSlot): void {
    this.#held.set(slot.grantId, slot);
    this.#heldByTier[slot.demand.tier] += 1;
    this.#heldWorkMs += slot.meanWorkMs;
    this.#servers.get(slot.serverId)?.acquire(slot);
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
    const slot = this.#held.get(grantId);
    if (!slot) return undefined;
    this.#held.delete(grantId);
    this.#heldByTier[slot.demand.tier] -= 1;
    this.#heldWorkMs -= slot.meanWorkMs;
    this.#servers.get(slot.serverId)?.release(slot, result, nowMs);
    const isComplete = result.verdict === ServerVerdict.Healthy;
    this.#overrunMeters[slot.demand.tier].observe(slot.workMs, result.totalMs, isComplete);
    return slot;
  }

  /** @param nowMs - monotonic time. @returns IDs of newly ejected backend servers */
  ejectOutliers(nowMs: number): string[] {
    const active = this.listServers().filter((server) => !server.isLeaving);
    const ejected = this.#ejector.eject(
      active.map((server) => server.getHealth()),
      nowMs,
    );
    // The slow start begins when the ejection ends; no requests until then.
    ejected.forEach((id) => this.#servers.get(id)?.reset(this.#ejector.getReturnAtMs(id)));
    return ejected;
  }

  #listEligible(nowMs: number, excluded: readonly string[]): ServerState[] {
    const usable = this.listServers().filter(
      (server) => !server.isLeaving && !excluded.includes(server.spec.id),
    );
    const notEjected = usable.filter((server) => !this.#ejector.isEjected(server.spec.id, nowMs));
    return notEjected.length > 0 ? notEjected : usable;
  }

  #hasServerCapacity(server: ServerState, tier: Tier, isAged: boolean, nowMs: number): boolean {
    const { isForeignLoadAware, reserveFraction } = this.strategy;
    const windowSize = server.window.getSize(nowMs);
    const isSoleDispatcher = isForeignLoadAware && this.#share === 1;
    const foreignLoad = isSoleDispatcher ? server.predictForeignLoad(nowMs) : 0;
    const limit = Math.max(1, Math.ceil((windowSize - foreignLoad) * this.#share));
    const reserved = isAged || tier === Tier.Urgent ? 0 : Math.ceil(limit * reserveFraction * tier);
    return server.held.size < Math.max(1, limit - reserved);
  }
}
