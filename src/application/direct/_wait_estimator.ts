/**
 * Estimates how long calls of one service wait for a slot.
 *
 * @module
 */
import { estimateSlotWaitMs, ExpectedReturns, RankShares } from '../../domain/direct/mod.js';
import { summarizeCapacity } from './_service_capacity.js';
import type { ServiceQueueOptions } from './service_queue_options.js';

/** Estimates for one moment. */
export interface WaitSurvey {
  /**
   * @param rank - rank of a call
   * @param ownAhead - calls that wait at this entry host and go before it
   * @returns estimated wait in milliseconds
   */
  estimateMs(rank: number, ownAhead: number): number;
  /**
   * Like {@link WaitSurvey.estimateMs}, with the calls ahead that were asked back: room for one
   * more call is expected after them.
   */
  estimateReturnMs(rank: number, ownAhead: number): number;
}

/** Combines what the servers have room for with the calls that go first, here and at peers. */
export class WaitEstimator {
  readonly #options: ServiceQueueOptions;

  readonly #getHoldMs: () => number;

  readonly #rankShares = new RankShares();

  readonly #returns = new ExpectedReturns();

  /**
   * @param options - dependencies of the queue
   * @param getHoldMs - gives the average time for which a request holds a slot
   */
  constructor(options: ServiceQueueOptions, getHoldMs: () => number) {
    this.#options = options;
    this.#getHoldMs = getHoldMs;
  }

  /** @param rank - rank of a call that is given a slot */
  recordStart(rank: number): void {
    this.#rankShares.record(rank);
  }

  /** @param rank - rank of a refused call. @param waitMs - time after which it is asked back */
  recordReturn(rank: number, waitMs: number): void {
    this.#returns.add(rank, this.#options.clock.nowMs() + waitMs);
  }

  /** @param queueSize - calls that wait at this entry host. @returns estimates for now */
  survey(queueSize: number): WaitSurvey {
    const { clock, listCandidates, estimateBlockedMs } = this.#options;
    const capacity = summarizeCapacity(listCandidates(), this.#getHoldMs(), clock.nowMs());
    const { startsPerMs, lendableSlots } = capacity;
    const blockedMs = estimateBlockedMs();
    const estimateMs = (rank: number, ownAhead: number, returning = 0): number => {
      const peerCalls = this.#countPeerCalls(rank, (ownAhead + 1) / (queueSize + 1));
      return estimateSlotWaitMs({
        callsAhead: Math.max(0, ownAhead + peerCalls + returning - lendableSlots),
        startsPerMs,
        urgentShare: this.#rankShares.computeShareAbove(rank),
        blockedMs,
      });
    };
    return {
      estimateMs: (rank, ownAhead) => estimateMs(rank, ownAhead),
      estimateReturnMs: (rank, ownAhead) => estimateMs(rank, ownAhead, this.#countReturns(rank)),
    };
  }

  /** Peers are taken to have refused as many calls as this host. */
  #countReturns(rank: number): number {
    const { clock, countEntryHosts } = this.#options;
    return this.#returns.count(rank, clock.nowMs()) * countEntryHosts();
  }

  /** Peers tell the rank of their first call only; the ranks behind it are taken to be as here. */
  #countPeerCalls(rank: number, aheadFraction: number): number {
    const { countPeerCallsAhead, countWaitingAtPeers } = this.#options;
    return Math.min(countPeerCallsAhead(rank), countWaitingAtPeers() * aheadFraction);
  }
}
