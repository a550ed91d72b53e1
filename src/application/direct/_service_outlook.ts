/**
 * What this entry host knows of the demand for the slots of one service, at all hosts.
 *
 * @module
 */
import {
  computeUrgency,
  HoldMeter,
  ReturningDemand,
  StartRates,
  sumMoreUrgent,
  WaveRates,
} from '../../domain/direct/mod.js';
import type { SlotForecast, UrgencyRates } from '../../domain/direct/mod.js';
import { summarizeCapacity } from './_service_capacity.js';
import type { ServiceCapacity } from './_service_capacity.js';
import type { SlotPicker } from './_slot_picker.js';
import type { QueuedCall, ServiceQueueOptions } from './service_queue_options.js';

/** Weight of each sample in the average share of this host. */
const SHARE_ALPHA = 0.02;

/**
 * Largest factor by which the calls that were started lately correct the rate of slots: after a loss
 * of servers, they still show the rate before it.
 */
const MAX_CORRECTION = 1.3;

/** Largest number of hosts' rejections that those of this host stand for. */
const MAX_RETURN_SCALE = 100;

/** Supply and demand at one moment. */
export interface OutlookView {
  readonly nowMs: number;
  readonly capacity: ServiceCapacity;
  /** Slots per second for all calls that the other figures count. */
  readonly slotsPerSecond: number;
  /** Calls per second that all hosts started in the last second. */
  readonly startedNow: UrgencyRates;
  /** The same over the last wave of demand. */
  readonly startedUsually: UrgencyRates;
  /** Calls that wait at peers, by urgency. */
  readonly waitingAtPeers: UrgencyRates;
  /** Calls that wait at peers and of which the urgency isn't known. */
  readonly unknownAtPeers: number;
}

/** Calls that go before another one. */
export interface CallsAhead {
  readonly urgency: number;
  /** Calls of this host that go before it. */
  readonly own: number;
  /** Part of the equally urgent calls at peers that arrived before it. */
  readonly peerPart: number;
  /** Whether callers of equal urgency that will return count, as they do for one that returns too. */
  readonly countsEqualReturns?: boolean;
}

/** Tracks the demand for the slots of one service. */
export class ServiceOutlook {
  readonly #options: ServiceQueueOptions;

  readonly #picker: SlotPicker;

  readonly #starts = new StartRates();

  readonly #wave = new WaveRates();

  readonly #returning = new ReturningDemand();

  readonly #holds = new HoldMeter();

  /** This host's part of the calls that all hosts start; undefined until peers have reported. */
  #share: number | undefined;

  /**
   * @param options - dependencies of the queue
   * @param picker - knows the average time for which a slot is held
   */
  constructor(options: ServiceQueueOptions, picker: SlotPicker) {
    this.#options = options;
    this.#picker = picker;
  }

  /** @returns calls that this host starts per second, by urgency */
  listStartRates(): UrgencyRates {
    return this.#starts.list(this.#options.clock.nowMs());
  }

  /** @param call - a call that is started */
  recordStart(call: QueuedCall): void {
    const nowMs = this.#options.clock.nowMs();
    this.#starts.record(computeUrgency(call), nowMs);
    this.#wave.sample(this.#listStartedNow(), nowMs);
  }

  /**
   * Records that a call gave its slot back. Calls at servers that are lost all end at once, which
   * says nothing of the others.
   *
   * @param serverId - incarnation ID of the backend server
   */
  recordSlotFreed(serverId: string): void {
    const { clock, listCandidates } = this.#options;
    if (listCandidates().some(({ id }) => id === serverId)) this.#holds.recordEnd(clock.nowMs());
  }

  /** Measures the slots that this host's calls hold. Called often while calls wait. */
  sampleHolds(): void {
    const { clock, listCandidates } = this.#options;
    const inFlight = listCandidates().reduce((sum, { load }) => sum + load.ownInFlight, 0);
    this.#holds.sample(inFlight, clock.nowMs());
  }

  /**
   * @param call - a call that was rejected
   * @param afterMs - time after which its caller was told to return, in milliseconds
   */
  recordRejected(call: QueuedCall, afterMs: number): void {
    if (call.isReturning) return;
    const nowMs = this.#options.clock.nowMs();
    const urgency = computeUrgency({ rank: call.rank, isLate: true });
    this.#returning.record(urgency, nowMs + afterMs, nowMs);
  }

  /**
   * Walks the servers once.
   *
   * @param call - the call that it is about; undefined for all calls
   * @returns supply and demand at this moment
   */
  read(call?: QueuedCall): OutlookView {
    const { clock, listCandidates, peers } = this.#options;
    const nowMs = clock.nowMs();
    const averageHoldMs = this.#holds.computeAverageMs(this.#picker.averageHoldMs);
    const capacity = summarizeCapacity(listCandidates(), { call, averageHoldMs, nowMs });
    const startedNow = this.#listStartedNow();
    this.#wave.sample(startedNow, nowMs);
    const startedUsually = this.#wave.rates;
    const waitingAtPeers = peers.countWaiting();
    return {
      nowMs,
      capacity,
      slotsPerSecond: this.#computeSlotsPerSecond(capacity, startedNow, startedUsually),
      startedNow,
      startedUsually,
      waitingAtPeers,
      unknownAtPeers: Math.max(0, this.#options.countWaitingAtPeers() - sumAll(waitingAtPeers)),
    };
  }

  /**
   * @param view - supply and demand
   * @param ahead - calls that go before the call
   * @returns the forecast for the call
   */
  buildForecast(view: OutlookView, ahead: CallsAhead): SlotForecast {
    const { capacity, startedNow, startedUsually, waitingAtPeers, unknownAtPeers, nowMs } = view;
    const { urgency, own, peerPart, countsEqualReturns = false } = ahead;
    const equalAtPeers = (waitingAtPeers.get(urgency) ?? 0) * peerPart;
    const atPeers = sumMoreUrgent(waitingAtPeers, urgency) + equalAtPeers + unknownAtPeers;
    const returnUrgency = countsEqualReturns ? urgency : urgency - 1;
    const returnScale = this.#computeReturnScale(startedNow);
    return {
      callsAhead: own + atPeers - capacity.freeSlots,
      slotsPerSecond: view.slotsPerSecond,
      takenNow: sumMoreUrgent(startedNow, urgency),
      takenUsually: sumMoreUrgent(startedUsually, urgency),
      countReturns: (withinMs) =>
        this.#returning.count(returnUrgency, nowMs, nowMs + withinMs) * returnScale,
    };
  }

  #listStartedNow(): UrgencyRates {
    const own = this.listStartRates();
    const rates = new Map(this.#options.peers.listStarted());
    own.forEach((rate, urgency) => rates.set(urgency, (rates.get(urgency) ?? 0) + rate));
    this.#updateShare(sumAll(own), sumAll(rates));
    return rates;
  }

  #updateShare(own: number, total: number): void {
    if (!this.#options.peers.hasReports() || total === 0) return;
    const share = own / total;
    this.#share = (this.#share ?? share) + SHARE_ALPHA * (share - (this.#share ?? share));
  }

  /** A host that hears no peer any more goes on with the share of the slots that it had. */
  #computeSlotsPerSecond(
    { slotsPerSecond }: ServiceCapacity,
    startedNow: UrgencyRates,
    startedUsually: UrgencyRates,
  ): number {
    const isCutOff = !this.#options.peers.hasReports() && this.#share !== undefined;
    if (isCutOff) return slotsPerSecond * (this.#share ?? 1);
    if (slotsPerSecond === 0) return 0;
    // What was started lately shows that there is more than the average hold of this host says.
    const startedPerSecond = Math.min(sumAll(startedNow), sumAll(startedUsually));
    return Math.max(slotsPerSecond, Math.min(startedPerSecond, slotsPerSecond * MAX_CORRECTION));
  }

  /** Callers return to any host: this host's rejections stand for those of all. */
  #computeReturnScale(startedNow: UrgencyRates): number {
    if (!this.#options.peers.hasReports()) return 1;
    const share = sumAll(this.listStartRates()) / sumAll(startedNow);
    return Number.isFinite(share) && share > 0 ? Math.min(1 / share, MAX_RETURN_SCALE) : 1;
  }
}

function sumAll(rates: UrgencyRates): number {
  return sumMoreUrgent(rates, Infinity);
}
