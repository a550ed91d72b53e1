/**
 * Decides which calls wait for a slot of one service, and until when.
 *
 * @module
 */
import {
  computeAdmittedWaitMs,
  computeAnswerLeftMs,
  computeMaxWaitMs,
  computeUrgency,
  estimatePacedWaitMs,
  predictWaitMs,
} from '../../domain/direct/mod.js';
import type { QueuePosition } from './_queue_positions.js';
import type { CallsAhead, OutlookView, ServiceOutlook } from './_service_outlook.js';
import type { OutlookFigures, QueuedCall, ServiceQueueOptions } from './service_queue_options.js';

/** Longest time for which the outlook predicts when there is room, in milliseconds. */
const ROOM_HORIZON_MS = 10_000;

/** Why a call doesn't wait. */
export interface Rejection {
  /** Estimated wait for a slot, in milliseconds. */
  readonly waitMs: number;
  /** Values that the outlook used; undefined if something else decided. */
  readonly outlook?: OutlookFigures | undefined;
}

interface AdmittedCall {
  readonly holdMs: number;
  /** Part of the service's slots that may serve the call. */
  readonly servingPart: number;
  /** Whether it may wait beyond its target. */
  readonly isWaitingLate: boolean;
}

/** Decides for the calls of one service. */
export class Admission {
  readonly #options: ServiceQueueOptions;

  readonly #outlook: ServiceOutlook;

  readonly #admitted = new WeakMap<QueuedCall, AdmittedCall>();

  /** When the service was first seen without servers; undefined while it has any. */
  #emptySinceMs: number | undefined;

  /**
   * @param options - dependencies of the queue
   * @param outlook - demand for the slots of the service
   */
  constructor(options: ServiceQueueOptions, outlook: ServiceOutlook) {
    this.#options = options;
    this.#outlook = outlook;
  }

  /**
   * Decides on a call that finds no free slot, and sets until when it waits.
   *
   * @param call - the call
   * @param position - where it would stand in the queue
   * @returns why it is rejected; undefined if it waits
   */
  admit(call: QueuedCall, position: QueuePosition): Rejection | undefined {
    const view = this.#outlook.read(call);
    const hasFixedWait = call.isWaitFixed || call.origin !== undefined;
    if (hasFixedWait || !this.#isForecastable(view))
      return this.#checkFixedWait(call, position, view);
    const { predictedHoldMs, servingPart } = view.capacity;
    const admitted = { holdMs: predictedHoldMs, servingPart, isWaitingLate: false };
    return this.#decide(call, position, { view, admitted });
  }

  /** @returns supply and demand at this moment, for {@link review} */
  read(): OutlookView {
    const view = this.#outlook.read();
    this.#emptySinceMs = view.slotsPerSecond > 0 ? undefined : (this.#emptySinceMs ?? view.nowMs);
    return view;
  }

  /**
   * Decides again on a call that waits.
   *
   * @param call - the call
   * @param position - where it stands in the queue
   * @param whole - supply and demand of the service
   * @returns why it is rejected; undefined if it goes on waiting
   */
  review(call: QueuedCall, position: QueuePosition, whole: OutlookView): Rejection | undefined {
    const admitted = this.#admitted.get(call);
    if (!admitted || call.isWaitFixed) return undefined;
    if (this.#emptySinceMs !== undefined) this.#limitEmptyWait(call, this.#emptySinceMs);
    if (!this.#isForecastable(whole)) return undefined;
    const view = { ...whole, slotsPerSecond: whole.slotsPerSecond * admitted.servingPart };
    return this.#decide(call, position, { view, admitted, isWaiting: true });
  }

  /**
   * @param call - a call whose time to wait has passed
   * @param position - where it would stand in the queue
   * @returns why it is rejected
   */
  explainExpiry(call: QueuedCall, position: QueuePosition): Rejection {
    const view = this.#outlook.read();
    if (this.#admitted.has(call) && !call.isWaitFixed)
      return this.#buildRejection(call, position, view);
    return { waitMs: this.#estimateFixedMs(call, position, view) };
  }

  #decide(
    call: QueuedCall,
    position: QueuePosition,
    { view, admitted, isWaiting = false }: DecisionContext,
  ): Rejection | undefined {
    const { nowMs } = view;
    const own = this.#outlook.buildForecast(view, buildAhead(call, position));
    const lateAhead = buildLateAhead(call, position);
    const late = call.isLate ? own : this.#outlook.buildForecast(view, lateAhead);
    const answerLeftMs = computeAnswerLeftMs(call.deadlineAtMs - nowMs, admitted.holdMs);
    const waitMs = computeAdmittedWaitMs({
      fresh: call.isLate ? undefined : own,
      late,
      targetLeftMs: call.onTimeStartAtMs - nowMs,
      answerLeftMs,
      isReturning: call.isReturning,
      isWaiting,
      isWaitingLate: admitted.isWaitingLate,
    });
    if (waitMs === 0) return this.#buildRejection(call, position, view);
    this.#admitted.set(call, { ...admitted, isWaitingLate: waitMs === answerLeftMs });
    call.adjustWait(nowMs + waitMs);
    return undefined;
  }

  #buildRejection(call: QueuedCall, position: QueuePosition, view: OutlookView): Rejection {
    const ahead = call.isLate ? buildAhead(call, position) : buildLateAhead(call, position);
    const late = this.#outlook.buildForecast(view, { ...ahead, countsEqualReturns: true });
    return {
      waitMs: predictWaitMs(late, ROOM_HORIZON_MS),
      outlook: {
        callsAhead: Math.round(late.callsAhead),
        slotsPerSecond: Math.round(view.slotsPerSecond * 10) / 10,
        takenPerSecond: Math.round(late.takenNow * 10) / 10,
        timeLeftMs: Math.round(call.deadlineAtMs - view.nowMs),
      },
    };
  }

  /** Paces, pauses and a service without servers have waits of their own. */
  #isForecastable({ capacity, slotsPerSecond }: OutlookView): boolean {
    const isPaced = capacity.requestsPerSecond < Infinity;
    return slotsPerSecond > 0 && !isPaced && this.#options.estimateBlockedMs() === 0;
  }

  #checkFixedWait(
    call: QueuedCall,
    position: QueuePosition,
    view: OutlookView,
  ): Rejection | undefined {
    const waitMs = this.#estimateFixedMs(call, position, view);
    return view.nowMs + waitMs > call.latestStartAtMs ? { waitMs } : undefined;
  }

  #estimateFixedMs(call: QueuedCall, position: QueuePosition, view: OutlookView): number {
    const { estimateBlockedMs, countPeerCallsAhead } = this.#options;
    const { requestsPerSecond } = view.capacity;
    const blockedMs = estimateBlockedMs();
    // Without any server, the call waits for one to appear.
    if (blockedMs > 0 || requestsPerSecond === 0) return blockedMs;
    if (requestsPerSecond === Infinity) {
      const forecast = this.#outlook.buildForecast(view, buildAhead(call, position));
      return predictWaitMs(forecast, ROOM_HORIZON_MS);
    }
    const peerCallsAhead = countPeerCallsAhead(computeUrgency(call));
    return estimatePacedWaitMs({
      ownCallsAhead: position.ahead,
      peerCallsAhead,
      requestsPerSecond,
    });
  }

  #limitEmptyWait(call: QueuedCall, sinceMs: number): void {
    const timeLeftMs = call.deadlineAtMs - sinceMs;
    const latestMs = sinceMs + computeMaxWaitMs({ isLate: true, timeLeftMs, targetMs: 0 });
    if (latestMs < call.latestStartAtMs) call.adjustWait(latestMs);
  }
}

interface DecisionContext {
  readonly view: OutlookView;
  readonly admitted: AdmittedCall;
  readonly isWaiting?: boolean;
}

function buildAhead(
  call: QueuedCall,
  { ahead, equalAhead, equalCount }: QueuePosition,
): CallsAhead {
  const peerPart = (equalAhead + 1) / (equalCount + 1);
  return { urgency: computeUrgency(call), own: ahead, peerPart };
}

/** A call that becomes late while it waits goes behind those on time. */
function buildLateAhead({ rank }: QueuedCall, { lateAhead }: QueuePosition): CallsAhead {
  return { urgency: computeUrgency({ rank, isLate: true }), own: lateAhead, peerPart: 1 };
}
