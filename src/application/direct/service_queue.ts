/**
 * Dispatches calls of one service to its backend servers, or queues them until a slot is free.
 *
 * @module
 */
import { pickServer } from '../../domain/backend_servers/mod.js';
import type { Candidate } from '../../domain/backend_servers/mod.js';
import {
  computeUrgency,
  estimatePacedWaitMs,
  WaitQueue,
  WaitSuccessTracker,
} from '../../domain/direct/mod.js';
import { countUsedSlots } from '../../domain/places/mod.js';
import type { Timer } from '../../ports/mod.js';
import type { QueuedCall, ServiceQueueOptions } from './service_queue_options.js';

/**
 * Interval between checks of the queue, in milliseconds; short compared with latency targets of
 * 100 ms and more.
 */
const CHECK_INTERVAL_MS = 15;

/** Time window over which freed slots are counted, in milliseconds. */
const FREED_WINDOW_MS = 2_000;

/**
 * Number of freed slots that is assumed when fewer were counted. A lower number would refuse calls
 * that only need a short wait; one that waits in vain is refused early enough for another host.
 */
const MIN_FREED_SLOTS = 20;

/** Weight of each sample in the moving average of the time for which a slot is held. */
const HOLD_TIME_ALPHA = 0.1;

/** Initial value of that average, in milliseconds: about the duration of a short answer. */
const INITIAL_HOLD_MS = 200;

/** The queue of one service's calls at this entry host. */
export class ServiceQueue {
  readonly #options: ServiceQueueOptions;

  readonly #queue = new WaitQueue<QueuedCall>();

  readonly #waitSuccess = new WaitSuccessTracker();

  /** When slots became free within the window, oldest first. */
  readonly #freedAtMs: number[] = [];

  #averageHoldMs = INITIAL_HOLD_MS;

  #timer: Timer | undefined;

  /** @param options - dependencies */
  constructor(options: ServiceQueueOptions) {
    this.#options = options;
  }

  /** Number of waiting calls. */
  get size(): number {
    return this.#queue.size;
  }

  /** Urgency of the first waiting call; Infinity when none waits. */
  get firstUrgency(): number {
    return this.#queue.firstUrgency;
  }

  /** @param call - the call to dispatch, queue or refuse */
  submit(call: QueuedCall): void {
    this.#guard(call, () => this.#admit(call));
  }

  #admit(call: QueuedCall): void {
    if (call.isHopeless) {
      call.shed(0);
      return;
    }
    if (this.#countAhead(call) === 0 && this.#tryDispatch(call)) return;
    const estimatedWaitMs = this.#estimateWaitMs(call);
    const nowMs = this.#options.clock.nowMs();
    if (!this.#isWaitWorthwhile(call)) {
      // However short the local queue is, no slot is likely to become free in time.
      call.shed(Math.max(estimatedWaitMs, call.latestStartAtMs - nowMs));
      return;
    }
    if (nowMs + estimatedWaitMs > call.latestStartAtMs) {
      call.shed(estimatedWaitMs);
      return;
    }
    this.#queue.add(call);
    this.#options.onWaiting();
    this.#scheduleCheck();
  }

  /**
   * Picks another server for a call that is in flight: one with room that is not avoided and is
   * expected to answer in time. Calls that wait go first.
   *
   * @param call - the call
   * @param quietIds - incarnation IDs of further servers that it must not be sent to
   * @returns the server; undefined if there is none
   */
  pickBeside(call: QueuedCall, quietIds: readonly string[]): Candidate | undefined {
    if (this.#countAhead(call) > 0) return undefined;
    const nowMs = this.#options.clock.nowMs();
    const excluded = new Set([...call.excluded, ...quietIds]);
    const candidate = this.#pickCandidate(call, this.#queue.size, excluded);
    if (!candidate || candidate.load.mustAvoid(nowMs)) return undefined;
    const isInTime = candidate.load.predictFirstByteMs(call.work) <= call.deadlineAtMs - nowMs;
    return isInTime ? candidate : undefined;
  }

  /** @param call - the call to remove from the queue */
  remove(call: QueuedCall): void {
    this.#queue.remove(call);
  }

  /**
   * Handles a slot that a request of this entry host gave back.
   *
   * @param serverId - incarnation ID of the backend server
   * @param heldMs - time for which the request held the slot, in milliseconds
   */
  handleSlotFreed(serverId: string, heldMs: number): void {
    this.#averageHoldMs += HOLD_TIME_ALPHA * (heldMs - this.#averageHoldMs);
    this.#freedAtMs.push(this.#options.clock.nowMs());
    this.#dropOldFreedTimes();
    this.#options.forwardFreedSlot(serverId);
  }

  /** Dispatches waiting calls to free slots, in order of the queue. */
  dispatchWaiting(): void {
    if (this.#queue.size === 0) return;
    let freeSlots = this.#countFreeSlots();
    if (freeSlots === 0) return;
    for (const call of [...this.#queue.list()]) {
      if (this.#guard(call, () => this.#dispatch(call))) freeSlots -= 1;
      if (freeSlots <= 0) return;
    }
  }

  #dispatch(call: QueuedCall): boolean {
    const candidate = this.#pickCandidate(call, this.#queue.size);
    // A grant may end other calls, so each call is looked up again when its turn comes.
    if (!candidate || !this.#queue.remove(call)) return false;
    this.#waitSuccess.record(computeUrgency(call), true, this.#options.clock.nowMs());
    call.grant(candidate);
    return true;
  }

  /** A fault ends the call that it concerns, not the turn of those behind it. */
  #guard(call: QueuedCall, step: () => unknown): boolean {
    try {
      return step() === true;
    } catch (error) {
      this.#queue.remove(call);
      call.handleFault(error);
      return false;
    }
  }

  /** Sheds calls that can no longer be started in time. */
  shedExpired(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#queue.removeExpired(nowMs).forEach((call) => {
      this.#waitSuccess.record(computeUrgency(call), false, nowMs);
      this.#guard(call, () => call.shed(this.#estimateWaitMs(call)));
    });
  }

  /** Sheds calls for which no backend server will take a request in time. */
  #shedBlocked(): void {
    const blockedMs = this.#options.estimateBlockedMs();
    if (blockedMs === 0) return;
    const startsAtMs = this.#options.clock.nowMs() + blockedMs;
    this.#shedWhere((call) => startsAtMs > call.latestStartAtMs, blockedMs);
  }

  /** Sheds calls whose stream no backend server may continue any more. */
  #shedHopeless(): void {
    this.#shedWhere((call) => call.origin !== undefined && call.isHopeless === true, 0);
  }

  #shedWhere(mustShed: (call: QueuedCall) => boolean, waitMs: number): void {
    [...this.#queue.list()]
      .filter((call) => mustShed(call) && this.#queue.remove(call))
      .forEach((call) => this.#guard(call, () => call.shed(waitMs)));
  }

  #isWaitWorthwhile(call: QueuedCall): boolean {
    const { clock, random } = this.#options;
    return this.#waitSuccess.isWorthwhile(
      computeUrgency(call),
      clock.nowMs(),
      random.nextFraction(),
    );
  }

  /**
   * Counts the waiting calls that go before a call. Calls that are bound to different versions, or of
   * which one alone is bound, don't wait for the same servers.
   */
  #countAhead(call: QueuedCall): number {
    const ahead = this.#queue.list().slice(0, this.#queue.countAhead(call));
    return ahead.filter(({ origin }) => origin?.version === call.origin?.version).length;
  }

  /** Estimates the wait of a call that is not in the queue yet, in milliseconds. */
  #estimateWaitMs(call: QueuedCall): number {
    this.#dropOldFreedTimes();
    const msPerFreedSlot = FREED_WINDOW_MS / Math.max(MIN_FREED_SLOTS, this.#freedAtMs.length);
    const slotsNeeded = Math.max(0, this.#countAhead(call) + 1 - this.#countFreeElsewhere());
    const waitMs = slotsNeeded * msPerFreedSlot;
    const blockedMs = this.#options.estimateBlockedMs();
    return Math.max(waitMs, blockedMs, this.#estimatePacedWaitMs(call));
  }

  /** Estimates the wait for a turn; 0 if any backend server needs none. */
  #estimatePacedWaitMs(call: QueuedCall): number {
    const { clock, listCandidates, countPeerCallsAhead } = this.#options;
    const nowMs = clock.nowMs();
    const requestsPerSecond = listCandidates().reduce(
      (sum, { load }) => sum + load.pace.computeTotalPerSecond(nowMs),
      0,
    );
    // Without any server, the call waits for one to appear.
    if (requestsPerSecond === 0) return 0;
    return estimatePacedWaitMs({
      ownCallsAhead: this.#countAhead(call),
      peerCallsAhead: countPeerCallsAhead(computeUrgency(call)),
      requestsPerSecond,
    });
  }

  #dropOldFreedTimes(): void {
    const oldestMs = this.#options.clock.nowMs() - FREED_WINDOW_MS;
    while ((this.#freedAtMs[0] ?? Infinity) < oldestMs) this.#freedAtMs.shift();
  }

  #countFreeSlots(): number {
    const nowMs = this.#options.clock.nowMs();
    return this.#options
      .listCandidates()
      .reduce((sum, { load }) => sum + load.countOpenSlots(nowMs), 0);
  }

  /** Counts free slots that other entry hosts own and may lend. */
  #countFreeElsewhere(): number {
    const paced = this.#options.listCandidates().filter(({ load }) => load.pace.slots.isPaced);
    const freeSlots = paced.map(({ load }) => countUsedSlots(load.slots) - load.inFlight);
    return freeSlots.reduce((sum, free) => sum + Math.max(0, free), 0);
  }

  #tryDispatch(call: QueuedCall): boolean {
    // No waiting call goes before this one, so none of them competes for the free slot.
    const candidate = this.#pickCandidate(call, 0);
    if (candidate) call.grant(candidate);
    return candidate !== undefined;
  }

  #pickCandidate(
    call: QueuedCall,
    ownWaitingCalls: number,
    excluded = call.excluded,
  ): Candidate | undefined {
    const { work, expectedTokens, deadlineAtMs, regions, origin } = call;
    const { clock, random, listCandidates, countWaitingAtPeers, getPeerUrgency } = this.#options;
    const nowMs = clock.nowMs();
    return pickServer(listCandidates(), {
      work,
      expectedTokens,
      timeLeftMs: deadlineAtMs - nowMs,
      targetLeftMs: (call.targetAtMs ?? Infinity) - nowMs,
      excluded,
      regions,
      origin,
      nowMs,
      nextFraction: () => random.nextFraction(),
      contention: {
        holdMs: this.#averageHoldMs,
        ownWaitingCalls,
        peerWaitingCalls: countWaitingAtPeers(),
        isPeerMoreUrgent: getPeerUrgency() < computeUrgency(call),
      },
    });
  }

  #scheduleCheck(): void {
    if (this.#timer) return;
    this.#timer = this.#options.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.#timer = undefined;
      this.shedExpired();
      this.#shedBlocked();
      this.#shedHopeless();
      this.dispatchWaiting();
      if (this.#queue.size > 0) this.#scheduleCheck();
    });
  }
}
