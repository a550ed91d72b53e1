/**
 * One call's use of the retry budget of its service.
 *
 * @module
 */
import type { CallRecorder } from './_call_recorder.js';
import type { RetryServices } from './direct_services.js';

/** Counts the call once as a first attempt, and takes, uses and gives back its retries. */
export class CallRetries {
  readonly #services: RetryServices;

  readonly #serviceId: string;

  readonly #recorder: CallRecorder;

  /** Whether the call counts as a first attempt. */
  #isCounted = false;

  /** Whether a retry is granted that is still to be sent. */
  #isPending = false;

  /**
   * @param services - retry budgets
   * @param serviceId - ID of the call's service
   * @param recorder - logs the decisions
   */
  constructor(services: RetryServices, serviceId: string, recorder: CallRecorder) {
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

  /** Records that the call is sent to a backend server, for the first time or again. */
  recordSent(): void {
    if (this.#isPending) this.#services.recordRetrySent(this.#serviceId);
    this.#isPending = false;
  }

  /** Gives back a retry that was not sent. */
  release(): void {
    if (this.#isPending) this.#services.releaseRetry(this.#serviceId);
    this.#isPending = false;
  }
}
