/**
 * Dispatches calls of one service to its backend servers, or queues them until a slot is free.
 *
 * @module
 */
import type { Candidate } from '../../domain/backend_servers/mod.js';
import { WaitQueue } from '../../domain/direct/mod.js';
import type { Timer } from '../../ports/mod.js';
import type { DispatchPass } from './_service_capacity.js';
import { SlotPicker } from './_slot_picker.js';
import { WaitEstimator } from './_wait_estimator.js';
import type { QueuedCall, ServiceQueueOptions } from './service_queue_options.js';
import type { QueueSummary } from './waiting_notices.js';

/** Interval between checks of the queue, in milliseconds: short compared with useful waits. */
const CHECK_INTERVAL_MS = 15;

/** The queue of one service's calls at this entry host. */
export class ServiceQueue {
  readonly #options: ServiceQueueOptions;

  readonly #queue: WaitQueue<QueuedCall>;

  readonly #picker: SlotPicker;

  readonly #estimator: WaitEstimator;

  #timer: Timer | undefined;

  /** @param options - dependencies */
  constructor(options: ServiceQueueOptions) {
    this.#options = options;
    this.#picker = new SlotPicker(options);
    this.#queue = new WaitQueue(options.fairOrder);
    this.#estimator = new WaitEstimator(options, () => this.#picker.averageHoldMs);
  }

  /** Number of waiting calls. */
  get size(): number {
    return this.#queue.size;
  }

  /** Rank of the first waiting call, less if its account is below its share; Infinity: none. */
  get firstPriority(): number {
    return this.#queue.firstPriority;
  }

  /** What peers are told of the queue. */
  get summary(): QueueSummary {
    return { size: this.size, firstUrgency: this.firstPriority };
  }

  /** @param call - the call to dispatch, queue or refuse */
  submit(call: QueuedCall): void {
    this.#guard(call, () => this.#admit(call));
  }

  #admit(call: QueuedCall): void {
    if (call.isHopeless) {
      this.#shed(call, this.#estimator.survey(this.size).estimateReturnMs(call.rank, this.size));
      return;
    }
    if (this.#countAhead(call) === 0 && this.#tryDispatch(call)) return;
    call.planStart(this.#options.listCandidates());
    const survey = this.#estimator.survey(this.size);
    const ahead = this.#countAhead(call);
    const startsAtMs = this.#options.clock.nowMs() + survey.estimateMs(call.rank, ahead);
    if (startsAtMs > call.latestStartAtMs) {
      this.#shed(call, survey.estimateReturnMs(call.rank, ahead));
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
    this.#options.forwardFreedSlot(serverId);
  }

  /** Dispatches waiting calls to free slots, in order of the queue. */
  dispatchWaiting(): void {
    if (this.#queue.size === 0) return;
    let pass = this.#picker.startPass();
    [...this.#queue.list()].every((call) => {
      if (pass.open.length === 0) return false;
      const isGranted = this.#guard(call, () => this.#dispatch(call, pass));
      // A grant takes a slot, and may change which servers are usable.
      if (isGranted) pass = this.#picker.refreshPass(pass);
      return true;
    });
  }

  #dispatch(call: QueuedCall, pass: DispatchPass): boolean {
    const candidate = this.#picker.pick(call, { ownWaitingCalls: this.#queue.size, pass });
    // A grant may end other calls, so each call is looked up again when its turn comes.
    if (!candidate || !this.#queue.remove(call)) return false;
    this.#estimator.recordStart(call.rank);
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

  /** Sheds calls that will not be started in time, as far as the estimate tells. */
  #shedLate(): void {
    const nowMs = this.#options.clock.nowMs();
    const survey = this.#estimator.survey(this.size);
    const kept = new Map<string | undefined, number>();
    [...this.#queue.list()].forEach((call) => {
      const version = call.origin?.version;
      const ahead = kept.get(version) ?? 0;
      const startsAtMs = nowMs + survey.estimateMs(call.rank, ahead);
      if (startsAtMs <= call.latestStartAtMs) kept.set(version, ahead + 1);
      else if (this.#queue.remove(call))
        this.#guard(call, () => this.#shed(call, survey.estimateReturnMs(call.rank, ahead)));
    });
  }

  /** @param waitMs - time until room is expected for one more call, in milliseconds */
  #shed(call: QueuedCall, waitMs: number): void {
    if (call.shed(waitMs)) this.#estimator.recordReturn(call.rank, waitMs);
  }

  /** Sheds calls whose stream no backend server may continue any more. */
  #shedHopeless(): void {
    [...this.#queue.list()]
      .filter((call) => call.origin !== undefined && call.isHopeless === true)
      .filter((call) => this.#queue.remove(call))
      .forEach((call) => this.#guard(call, () => call.shed(0)));
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

  #tryDispatch(call: QueuedCall): boolean {
    // No waiting call goes before this one, so none of them competes for the free slot.
    const candidate = this.#picker.pick(call, { ownWaitingCalls: 0 });
    if (!candidate) return false;
    this.#estimator.recordStart(call.rank);
    call.grant(candidate);
    return true;
  }

  #scheduleCheck(): void {
    if (this.#timer) return;
    this.#timer = this.#options.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.#timer = undefined;
      this.#shedLate();
      this.#shedHopeless();
      this.dispatchWaiting();
      if (this.#queue.size > 0) this.#scheduleCheck();
    });
  }
}
