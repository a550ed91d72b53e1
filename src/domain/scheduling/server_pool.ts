/**
 * The backend servers of one dispatch group: room, choice, ejection.
 *
 * @module
 */
import { buildCandidates, isWorthHolding, predictRepeated } from './_cache_cost.js';
import { OutlierEjector } from './outlier_ejection.js';
import { OverrunMeter } from './_overrun_meter.js';
import { computeSafeWork, filterWorthwhile, isTooLate, predictWorkNow } from './_server_fit.js';
import { ServerState, ServerVerdict } from './server_state.js';
import type { HeldSlot, ServerSpec, SlotResult } from './server_state.js';
import type { SlotDemand } from './slot_demand.js';
import type { SchedulingStrategy } from './strategy.js';
import { Tier, TIERS } from './tier.js';

/** Predicted work of one request in a group, in milliseconds of one slot. */
export interface GroupWork {
  /** On the backend server that suits it best. */
  readonly leastMs: number;
  /** On average. */
  readonly meanMs: number;
}

/** Knows the group's backend servers and who holds their slots. */
export class ServerPool {
  readonly #servers = new Map<string, ServerState>();

  readonly #ejector = new OutlierEjector();

  readonly #held = new Map<number, HeldSlot>();

  readonly #heldByTier: Record<Tier, number> = {
    [Tier.Urgent]: 0,
    [Tier.Standard]: 0,
    [Tier.Batch]: 0,
  };

  readonly #overruns: Readonly<Record<Tier, OverrunMeter>> = {
    [Tier.Urgent]: new OverrunMeter(),
    [Tier.Standard]: new OverrunMeter(),
    [Tier.Batch]: new OverrunMeter(),
  };

  #heldWorkMs = 0;

  #share = 1;

  /**
   * @param strategy - how to choose
   * @param isPlain - whether the group belongs to a plain service
   */
  constructor(
    readonly strategy: SchedulingStrategy,
    readonly isPlain: boolean,
  ) {}

  /** Slots that are held now. */
  get heldCount(): number {
    return this.#held.size;
  }

  /** Mean predicted work of what holds a slot, in milliseconds; 0 when nothing does. */
  get meanHeldWorkMs(): number {
    return this.#held.size === 0 ? 0 : this.#heldWorkMs / this.#held.size;
  }

  /** @param tier - a tier. @returns slots that it and lower tiers hold */
  countHeldFrom(tier: Tier): number {
    return TIERS.reduce((sum, other) => sum + (other >= tier ? this.#heldByTier[other] : 0), 0);
  }

  /** @param tier - a tier. @returns multiple of its predicted time within which a request of it probably ends */
  getMargin(tier: Tier): number {
    return this.#overruns[tier].margin;
  }

  /** @param share - part of each window that may be used, above 0 to 1 */
  setShare(share: number): void {
    this.#share = Math.min(1, Math.max(0, share));
  }

  /**
   * Takes over the configured backend servers. Those that appear later than the
   * first start slowly; those that are gone keep their held slots until release.
   *
   * @param specs - all of the group
   * @param nowMs - monotonic time in milliseconds
   */
  updateServers(specs: readonly ServerSpec[], nowMs: number): void {
    const isFirst = this.#servers.size === 0;
    const ids = new Set(specs.map(({ id }) => id));
    this.#servers.forEach((_, id) => ids.has(id) || this.#servers.delete(id));
    specs.forEach((spec) => {
      const known = this.#servers.get(spec.id);
      const server = known ?? new ServerState(spec, this.isPlain);
      const isBack = known?.spec.isLeaving === true && !spec.isLeaving;
      if (isBack || (!known && !isFirst)) server.startOver(nowMs);
      server.spec = spec;
      this.#servers.set(spec.id, server);
    });
  }

  /** @param id - which backend server. @returns what is known of it */
  findServer(id: string): ServerState | undefined {
    return this.#servers.get(id);
  }

  /** @param grantId - which slot. @returns it, while it is held */
  findHeld(grantId: number): HeldSlot | undefined {
    return this.#held.get(grantId);
  }

  /** @returns every slot that is held */
  listHeld(): HeldSlot[] {
    return [...this.#held.values()];
  }

  /** @returns every backend server of the group */
  listServers(): ServerState[] {
    return [...this.#servers.values()];
  }

  /** @param nowMs - monotonic time. @returns IDs of those that are ejected now */
  listEjected(nowMs: number): string[] {
    return [...this.#servers.keys()].filter((id) => this.#ejector.isEjected(id, nowMs));
  }

  /** @param nowMs - monotonic time. @returns slots that may be held at once here, at least 1 */
  computeWindow(nowMs: number): number {
    const whole = this.listServers()
      .filter((server) => !server.isLeaving && !this.#ejector.isEjected(server.spec.id, nowMs))
      .reduce((sum, server) => sum + server.window.getSize(nowMs), 0);
    return Math.max(1, Math.floor(whole * this.#share));
  }

  /**
   * Lists the backend servers that may serve a request at all. Ejected ones are
   * among them only when nobody else is: a doubtful one is better than none.
   *
   * @param demand - the request
   * @param nowMs - monotonic time in milliseconds
   * @returns them, with room or without
   */
  listUsable(demand: SlotDemand, nowMs: number): ServerState[] {
    return this.#listTrusted(nowMs, demand.excluded);
  }

  /**
   * Tells whether any backend server has room for a tier.
   *
   * @param tier - which tier
   * @param isAged - whether it may use the reserve
   * @param nowMs - monotonic time in milliseconds
   */
  hasRoom(tier: Tier, isAged: boolean, nowMs: number): boolean {
    if (this.#share < 1 && this.#held.size >= this.computeWindow(nowMs)) return false;
    return this.#listTrusted(nowMs, []).some((server) =>
      this.#hasServerRoom(server, tier, isAged, nowMs),
    );
  }

  /**
   * Predicts a request's work in this group.
   *
   * @param demand - the request
   * @param nowMs - monotonic time in milliseconds
   * @returns its work; undefined when no backend server may serve it
   */
  predictWork(demand: SlotDemand, nowMs: number): GroupWork | undefined {
    const works = this.listUsable(demand, nowMs).map((server) =>
      server.speed.predictWorkMs(server.predictWork(demand, nowMs)),
    );
    if (works.length === 0) return undefined;
    const sum = works.reduce((total, workMs) => total + workMs, 0);
    return { leastMs: Math.min(...works), meanMs: sum / works.length };
  }

  /**
   * Picks a backend server with room.
   *
   * @param demand - the request
   * @param isAged - whether it may use the reserve
   * @param nowMs - monotonic time in milliseconds
   * @param nextFraction - gives random numbers in [0, 1)
   * @returns the choice; undefined when the request should go on waiting
   */
  pickServer(
    demand: SlotDemand,
    isAged: boolean,
    nowMs: number,
    nextFraction: () => number,
  ): string | undefined {
    const usable = this.listUsable(demand, nowMs);
    const free = usable
      .filter((server) => this.#hasServerRoom(server, demand.tier, isAged, nowMs))
      .map((server) => ({ server, workMs: predictWorkNow(server, demand, nowMs) }));
    if (free.length === 0) return undefined;
    const safeMs = this.strategy.weighsDeadlines
      ? computeSafeWork(demand, this.getMargin(demand.tier), nowMs)
      : Infinity;
    const safe = free.filter(({ workMs }) => workMs <= safeMs);
    const chosen = safe.length > 0 ? safe : filterWorthwhile(free, usable, demand, nowMs);
    const warm = this.strategy.seeksWarmCache ? usable : [];
    const candidates = buildCandidates(chosen, warm, demand, nowMs);
    return this.strategy.pickServer(candidates, nextFraction)?.id;
  }

  /**
   * @param demand - a request
   * @param serverId - where it would run
   * @param nowMs - monotonic time in milliseconds
   * @returns prompt tokens computed again there, which another one's cache holds
   */
  predictRepeated(demand: SlotDemand, serverId: string, nowMs: number): number {
    const server = this.#servers.get(serverId);
    if (!server || !this.strategy.seeksWarmCache) return 0;
    return predictRepeated(server, this.listUsable(demand, nowMs), demand, nowMs);
  }

  /**
   * @param demand - a request
   * @param serverId - where it would run
   * @param nowMs - monotonic time in milliseconds
   * @returns whether to keep the slot free for a moment instead
   */
  isWorthHolding(demand: SlotDemand, serverId: string, nowMs: number): boolean {
    const server = this.#servers.get(serverId);
    if (!server || !this.strategy.seeksWarmCache) return false;
    return isWorthHolding(server, this.listUsable(demand, nowMs), demand, nowMs);
  }

  /**
   * Tells whether a request that waits would be started nowhere any more.
   *
   * @param demand - the request
   * @param nowMs - monotonic time in milliseconds
   */
  isTooLate(demand: SlotDemand, nowMs: number): boolean {
    if (!this.strategy.weighsDeadlines) return false;
    return isTooLate(this.listUsable(demand, nowMs), demand, nowMs);
  }

  /** @param slot - a slot that is held from now on */
  acquire(slot: HeldSlot): void {
    this.#held.set(slot.grantId, slot);
    this.#heldByTier[slot.demand.tier] += 1;
    this.#heldWorkMs += slot.meanWorkMs;
    this.#servers.get(slot.serverId)?.acquire(slot);
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
    const slot = this.#held.get(grantId);
    if (!slot) return undefined;
    this.#held.delete(grantId);
    this.#heldByTier[slot.demand.tier] -= 1;
    this.#heldWorkMs -= slot.meanWorkMs;
    this.#servers.get(slot.serverId)?.release(slot, result, nowMs);
    const isWhole = result.verdict === ServerVerdict.Healthy;
    this.#overruns[slot.demand.tier].observe(slot.workMs, result.totalMs, isWhole);
    return slot;
  }

  /** @param nowMs - monotonic time in milliseconds. @returns IDs that were ejected now */
  ejectOutliers(nowMs: number): string[] {
    const staying = this.listServers().filter((server) => !server.isLeaving);
    const ejected = this.#ejector.eject(
      staying.map((server) => server.getHealth()),
      nowMs,
    );
    // The slow start is set for the moment of return; until then it gets nothing.
    ejected.forEach((id) => this.#servers.get(id)?.startOver(this.#ejector.getReturnMs(id)));
    return ejected;
  }

  #listTrusted(nowMs: number, excluded: readonly string[]): ServerState[] {
    const usable = this.listServers().filter(
      (server) => !server.isLeaving && !excluded.includes(server.spec.id),
    );
    const trusted = usable.filter((server) => !this.#ejector.isEjected(server.spec.id, nowMs));
    return trusted.length > 0 ? trusted : usable;
  }

  #hasServerRoom(server: ServerState, tier: Tier, isAged: boolean, nowMs: number): boolean {
    const { countsForeignLoad, reserveFraction } = this.strategy;
    const window = server.window.getSize(nowMs);
    const isAlone = countsForeignLoad && this.#share === 1;
    const foreign = isAlone ? server.predictForeignLoad(nowMs) : 0;
    const limit = Math.max(1, Math.ceil((window - foreign) * this.#share));
    const reserved = isAged || tier === Tier.Urgent ? 0 : Math.ceil(limit * reserveFraction * tier);
    return server.held.size < Math.max(1, limit - reserved);
  }
}
