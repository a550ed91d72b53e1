/**
 * One call's use of the retry budget of its service.
 *
 * @module
 */
import type { Clock, Timer } from '../../ports/mod.js';
import type { CallRecorder } from './_call_recorder.js';
import type { RetryServices } from './direct_services.js';

/** Interval at which the budget is asked again for a call that waits for a retry, in milliseconds. */
const ASK_INTERVAL_MS = 500;

/** The retry budgets, and the clock by which they are asked again. */
export interface CallRetryServices extends RetryServices {
  readonly clock: Clock;
}

/** Counts the call once as a first attempt, and takes, uses and gives back its retries. */
export class CallRetries {
  readonly #services: CallRetryServices;

  readonly #serviceId: string;

  readonly #recorder: CallRecorder;

  /** Whether the call counts as a first attempt. */
  #isCounted = false;

  /** Whether a retry is granted that is still to be sent. */
  #isPending = false;

  /** When the budget is asked again; undefined unless the call waits for a retry. */
  #timer: Timer | undefined;

  /**
   * @param services - retry budgets and clock
   * @param serviceId - ID of the call's service
   * @param recorder - logs the decisions
   */
  constructor(services: CallRetryServices, serviceId: string, recorder: CallRecorder) {
    this.#services = services;
    this.#serviceId = serviceId;
    this.#recorder = recorder;
  }

  /** Records a sign that a backend server has the request, or that it may just be slow. */
  recordAttempt(): void {
    if (this.#isCounted) return;
    this.#isCounted = true;
    this.#services.recordFirstAttempt(this.#serviceId);
  }

  /** @returns whether the budget grants the call one more attempt, or has granted one before */
  take(): boolean {
    if (this.#isPending) return true;
    const decision = this.#services.takeRetry(this.#serviceId);
    this.#recorder.recordRetry(this.#serviceId, decision);
    this.#isPending = decision.isGranted;
    return decision.isGranted;
  }

  /**
   * Asks the budget again and again until it grants the call one more attempt or {@link release} is
   * called.
   *
   * @param onGranted - called once, with the retry
   */
  wait(onGranted: () => void): void {
    this.#timer = this.#services.clock.setTimer(ASK_INTERVAL_MS, () => {
      if (this.take()) onGranted();
      else this.wait(onGranted);
    });
  }

  /** Records that the call is sent to a backend server, for the first time or again. */
  recordSent(): void {
    if (this.#isPending) this.#services.recordRetrySent(this.#serviceId);
    this.#isPending = false;
  }

  /** Ends a wait for a retry, and gives back one that was not sent. */
  release(): void {
    this.#timer?.cancel();
    if (this.#isPending) this.#services.releaseRetry(this.#serviceId);
    this.#isPending = false;
  }
}
