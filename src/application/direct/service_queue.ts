/**
 * Dispatches calls of one service to its backend servers, or queues them until a slot is free.
 *
 * @module
 */
import type { Candidate } from '../../domain/backend_servers/mod.js';
import { WaitQueue } from '../../domain/direct/mod.js';
import type { Timer } from '../../ports/mod.js';
import { Admission } from './_admission.js';
import type { Rejection } from './_admission.js';
import { QueuePositions } from './_queue_positions.js';
import type { QueuePosition } from './_queue_positions.js';
import type { QueueTurn } from './_service_capacity.js';
import { ServiceOutlook } from './_service_outlook.js';
import { SlotPicker } from './_slot_picker.js';
import type { QueuedCall, ServiceQueueOptions } from './service_queue_options.js';

/** Interval between checks of the queue, in milliseconds: short compared with latency targets. */
const CHECK_INTERVAL_MS = 15;

/**
 * Interval between decisions on waiting calls, in milliseconds. A caller that is told a quarter of
 * a second late still has most of its time.
 */
const REVIEW_INTERVAL_MS = 250;

/** The queue of one service's calls at this entry host. */
export class ServiceQueue {
  readonly #options: ServiceQueueOptions;

  readonly #queue: WaitQueue<QueuedCall>;

  readonly #picker: SlotPicker;

  readonly #outlook: ServiceOutlook;

  readonly #admission: Admission;

  #reviewedAtMs = Number.NEGATIVE_INFINITY;

  #timer: Timer | undefined;

  /** @param options - dependencies */
  constructor(options: ServiceQueueOptions) {
    this.#options = options;
    this.#picker = new SlotPicker(options);
    this.#queue = new WaitQueue(options.fairOrder);
    this.#outlook = new ServiceOutlook(options, this.#picker);
    this.#admission = new Admission(options, this.#outlook);
  }

  /** Number of waiting calls. */
  get size(): number {
    return this.#queue.size;
  }

  /** Urgency of the first waiting call, less if its account is below its share; Infinity: none. */
  get firstUrgency(): number {
    return this.#queue.firstPriority;
  }

  /** @returns number of waiting calls, by urgency */
  countByUrgency(): ReadonlyMap<number, number> {
    return new QueuePositions(this.#queue.list()).counts;
  }

  /** @returns calls that this host starts per second, as a decayed mean, by urgency */
  listStartRates(): ReadonlyMap<number, number> {
    return this.#outlook.listStartRates();
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
    const rejection = this.#admission.admit(call, this.#locate(call));
    if (rejection) {
      this.#shed(call, rejection);
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
    const candidate = this.#picker.pick(call, { ownWaitingCalls: this.#queue.size, excluded });
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
    this.#picker.recordHold(heldMs);
    this.#outlook.recordSlotFreed(serverId);
    this.#options.forwardFreedSlot(serverId);
  }

  /** Dispatches waiting calls to free slots, in order of the queue. */
  dispatchWaiting(): void {
    if (this.#queue.size === 0) return;
    let turn = this.#picker.startTurn();
    [...this.#queue.list()].every((call) => {
      if (turn.open.length === 0) return false;
      const isGranted = this.#guard(call, () => this.#dispatch(call, turn));
      // A grant takes a slot, and may change which servers are usable.
      if (isGranted) turn = this.#picker.continueTurn(turn);
      return true;
    });
  }

  #dispatch(call: QueuedCall, turn: QueueTurn): boolean {
    const candidate = this.#picker.pick(call, { ownWaitingCalls: this.#queue.size, turn });
    // A grant may end other calls, so each call is looked up again when its turn comes.
    if (!candidate || !this.#queue.remove(call)) return false;
    this.#grant(call, candidate);
    return true;
  }

  #grant(call: QueuedCall, candidate: Candidate): void {
    this.#outlook.recordStart(call);
    call.grant(candidate);
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
    this.#queue.removeExpired(this.#options.clock.nowMs()).forEach((call) => {
      const rejection = this.#admission.explainExpiry(call, this.#locate(call));
      this.#guard(call, () => this.#shed(call, rejection));
    });
  }

  #shed(call: QueuedCall, { waitMs, outlook }: Rejection): void {
    const returnsAfterMs = call.shed(waitMs, outlook);
    if (outlook) this.#outlook.recordRejected(call, returnsAfterMs);
  }

  /** Moves calls whose target has passed behind those that can still meet theirs. */
  #moveLate(): void {
    const nowMs = this.#options.clock.nowMs();
    const late = this.#queue.list().filter((call) => !call.isLate && call.targetAtMs <= nowMs);
    late.forEach((call) => {
      this.#queue.remove(call);
      call.markLate();
      this.#queue.add(call);
    });
  }

  /** Decides again on the waiting calls, the first of the queue first. */
  #review(): void {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs - this.#reviewedAtMs < REVIEW_INTERVAL_MS) return;
    this.#reviewedAtMs = nowMs;
    const view = this.#admission.read();
    this.#options.onReview(view.slotsPerSecond);
    const calls = this.#queue.list().filter(({ origin }) => origin === undefined);
    const positions = new QueuePositions(calls);
    let ahead = 0;
    calls.forEach((call) => {
      const rejection = this.#admission.review(call, positions.locate(call, ahead, true), view);
      if (!rejection) {
        ahead += 1;
        return;
      }
      positions.remove(call);
      if (this.#queue.remove(call)) this.#guard(call, () => this.#shed(call, rejection));
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

  /**
   * Counts the waiting calls that go before a call. Calls that are bound to different versions, or of
   * which one alone is bound, don't wait for the same servers.
   */
  #countAhead(call: QueuedCall): number {
    const calls = this.#queue.list();
    const version = call.origin?.version;
    let ahead = 0;
    for (let index = this.#queue.countAhead(call) - 1; index >= 0; index -= 1) {
      if (calls[index]?.origin?.version === version) ahead += 1;
    }
    return ahead;
  }

  #locate(call: QueuedCall): QueuePosition {
    const version = call.origin?.version;
    const calls = this.#queue.list().filter(({ origin }) => origin?.version === version);
    return new QueuePositions(calls).locate(call, this.#countAhead(call), false);
  }

  #tryDispatch(call: QueuedCall): boolean {
    // No waiting call goes before this one, so none of them competes for the free slot.
    const candidate = this.#picker.pick(call, { ownWaitingCalls: 0 });
    if (candidate) this.#grant(call, candidate);
    return candidate !== undefined;
  }

  #scheduleCheck(): void {
    if (this.#timer) return;
    this.#timer = this.#options.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.#timer = undefined;
      this.#outlook.sampleHolds();
      this.#moveLate();
      this.shedExpired();
      this.#shedBlocked();
      this.#shedHopeless();
      this.#review();
      this.dispatchWaiting();
      if (this.#queue.size > 0) this.#scheduleCheck();
    });
  }
}
