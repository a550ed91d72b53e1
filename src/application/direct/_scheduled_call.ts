/**
 * When a call came, until when it may be started, and when it times out.
 *
 * @module
 */
import type { Candidate, RequestWork } from '../../domain/backend_servers/mod.js';
import { computeMaxSilentWaitMs } from '../../domain/direct/mod.js';
import type { DirectCallOptions } from './direct_call_options.js';
import { predictAnswerTimes } from './_service_capacity.js';

/** What the times of a call depend on. */
export type ScheduleOptions = Pick<
  DirectCallOptions,
  'answerTimes' | 'request' | 'route' | 'services' | 'waitedMs'
>;

/** A call with its times, which are those of the monotonic clock in milliseconds. */
export abstract class ScheduledCall {
  readonly arrivedAtMs: number;

  /** Factor on predicted times within which most answers of the route come. */
  readonly answerTimeFactor: number;

  readonly #options: ScheduleOptions;

  /** The earlier of the caller's deadline and the route's timeout. */
  readonly #ownDeadlineAtMs: number;

  #predictedMs = 0;

  #maxWaitMs = Infinity;

  /** @param options - the call */
  constructor(options: ScheduleOptions) {
    const { answerTimes, request, route, services, waitedMs } = options;
    this.#options = options;
    this.arrivedAtMs = services.clock.nowMs() - waitedMs;
    this.#ownDeadlineAtMs =
      this.arrivedAtMs + Math.min(request.deadlineMs ?? Infinity, route.timeoutMs);
    this.answerTimeFactor = answerTimes.factor;
  }

  /** Work of the call's request. */
  abstract readonly work: RequestWork;

  /** Expected number of output tokens. */
  abstract readonly expectedTokens: number;

  /** Whether any backend server may have run the request. */
  abstract readonly mayHaveRun: boolean;

  /** When the call ends at the latest: at its own time, or as this process stops. */
  get deadlineAtMs(): number {
    return Math.min(this.#ownDeadlineAtMs, this.#options.services.getEndAtMs());
  }

  /** Whether this process stops before the call's own time is over. */
  get isCutByStop(): boolean {
    return this.deadlineAtMs < this.#ownDeadlineAtMs;
  }

  /** Latest useful start of the call while its caller hears nothing. */
  get latestStartAtMs(): number {
    return Math.min(this.completableUntilMs, this.arrivedAtMs + this.#maxWaitMs);
  }

  /** Latest start after which the answer can be complete in time. */
  get completableUntilMs(): number {
    return this.deadlineAtMs - this.#predictedMs;
  }

  /**
   * Computes the latest starts. A caller whose request may have run can't be asked back, so its call
   * waits while it can.
   *
   * @param candidates - servers that may be given work
   */
  planStart(candidates: readonly Candidate[]): void {
    const { route, services } = this.#options;
    const predicted = predictAnswerTimes(candidates, this, services.clock.nowMs());
    const firstByteMs = predicted.firstByteMs * this.answerTimeFactor;
    const isSilenceLimited = route.isStream && !this.mayHaveRun;
    this.#maxWaitMs = isSilenceLimited ? computeMaxSilentWaitMs(firstByteMs) : Infinity;
    this.#predictedMs = predicted.totalMs * this.answerTimeFactor;
  }
}
