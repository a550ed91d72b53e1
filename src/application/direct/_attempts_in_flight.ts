/**
 * The attempts of one call that are in flight.
 *
 * @module
 */
import { ServerOutcome } from '../../domain/backend_servers/mod.js';
import type { BackendServerEntry, ServerLoad } from '../../domain/backend_servers/mod.js';
import type { BackendRequest, Timer } from '../../ports/mod.js';
import type { Permit } from '../crashes/mod.js';
import type { SlotCharge } from './_account_usage_table.js';
import type { AttemptBudget } from './_attempt_budget.js';
import type { DirectAttemptResult } from './_attempt_result.js';
import { buildBackendRequest } from './_backend_request.js';
import type { CallRecorder } from './_call_recorder.js';
import type { CallRetries } from './_call_retries.js';
import type { CallStream } from './_call_stream.js';
import { DirectAttempt } from './_direct_attempt.js';
import type { PermittedServer } from './_silence_policy.js';
import type { DirectCallOptions } from './direct_call_options.js';
import type { QueuedCall } from './service_queue_options.js';

/**
 * Time for which two servers may work on one stream, in milliseconds: enough for the second one to
 * decline it.
 */
const MAX_STREAM_OVERLAP_MS = 200;

/** Interval at which it is looked whether the second request has been sent, in milliseconds. */
const OVERLAP_CHECK_MS = 50;

/** The call, and what each of its attempts depends on. */
export interface AttemptsInFlightOptions {
  readonly options: DirectCallOptions;
  readonly call: QueuedCall;
  readonly stream: CallStream;
  readonly budget: AttemptBudget;
  readonly retries: CallRetries;
  readonly recorder: CallRecorder;
  /** Called while the newest attempt is silent for longer than its limit, again and again. */
  readonly onStall: (attempt: DirectAttempt, permit: Permit) => void;
  /** Called when an attempt has ended by itself. */
  readonly onEnd: (serverId: string, result: DirectAttemptResult, permit: Permit) => void;
}

/**
 * Keeps a silent attempt until another one brings the answer. What is given up before that is lost
 * if the other server turns out to be full, silent or gone.
 */
export class AttemptsInFlight {
  readonly #options: AttemptsInFlightOptions;

  /** Oldest first. */
  #attempts: readonly DirectAttempt[] = [];

  /** Slots of the attempts in flight. */
  readonly #charges = new Map<DirectAttempt, SlotCharge>();

  #overlapTimer: Timer | undefined;

  #owesAnswer = false;

  /** @param options - the call, and what each of its attempts depends on */
  constructor(options: AttemptsInFlightOptions) {
    this.#options = options;
  }

  /** Whether no attempt is in flight. */
  get isEmpty(): boolean {
    return this.#attempts.length === 0;
  }

  /** Whether a silent attempt was given up for one that hasn't spoken so far. */
  get owesAnswer(): boolean {
    return this.#owesAnswer;
  }

  /** @param next - a server to which the request is sent, beside those that have it already */
  start(next: PermittedServer): void {
    const { budget } = this.#options;
    const { count } = budget;
    this.#guard(() => this.#start(next));
    if (budget.count === count) next.permit.returnUnused();
  }

  /** What is in flight goes on beside a fault of this host. */
  #guard(step: () => void): void {
    try {
      step();
    } catch (error) {
      this.#options.call.handleFault(error);
    }
  }

  #start({ server, load, permit }: PermittedServer): void {
    const { options, call, stream, budget, retries, recorder } = this.#options;
    const { services, serviceId, route, reply, tokensPerEvent } = options;
    recorder.recordDispatch(server, load, {
      attempt: budget.count + 1,
      beside: this.#newest?.incarnationId,
      promptTokens: call.work.promptTokens,
      expectedTokens: Math.round(call.expectedTokens),
      ...stream.describe(),
    });
    const version = services.servers.versions.find(server.id);
    const predictedMs = load.predictHoldMs(call.work, call.expectedTokens);
    const attempt: DirectAttempt = new DirectAttempt({
      services,
      reply,
      route,
      load,
      stream: stream.relay,
      tokensPerEvent,
      request: this.#buildRequest(server),
      onArrival: () => retries.recordAttempt(),
      onBegin: () => stream.recordBegin({ serviceId, version }),
      onStall: () => {
        this.#countIfSent(attempt);
        if (attempt !== this.#newest) return;
        this.#guard(() => this.#options.onStall(attempt, permit));
      },
      onTakeOver: () => {
        this.#owesAnswer = false;
        this.#keepOnly(attempt);
      },
      onEnd: (result) => {
        this.#remove(attempt);
        if (result.failure === undefined) options.answerTimes.learn(predictedMs, result.totalMs);
        this.#options.onEnd(server.id, result, permit);
      },
    });
    budget.recordSent();
    retries.recordSent();
    this.#attempts = [...this.#attempts, attempt];
    this.#charge(attempt, load);
    attempt.start();
    if (route.isStream && this.#attempts.length > 1) this.#scheduleOverlapEnd();
  }

  /** Cancels attempts that no server can have received yet: nothing of them is lost. */
  cancelUnsent(): void {
    this.#attempts
      .filter(({ mayHaveBeenSent }) => !mayHaveBeenSent)
      .forEach((attempt) => this.#cancel(attempt));
  }

  /** Cancels all attempts. */
  cancelAll(): void {
    this.#attempts.forEach((attempt) => this.#cancel(attempt));
  }

  /** @param incarnationId - ID of an incarnation of a backend server that is said to have ended */
  expectEndAt(incarnationId: string): void {
    this.#attempts
      .filter((attempt) => attempt.incarnationId === incarnationId)
      .forEach((attempt) => attempt.expectEnd());
  }

  get #newest(): DirectAttempt | undefined {
    return this.#attempts.at(-1);
  }

  #buildRequest(server: BackendServerEntry): BackendRequest {
    const { options, call, stream, budget } = this.#options;
    const { request, account } = options;
    const { timeLeftMs } = budget;
    return buildBackendRequest(
      { request, account, timeLeftMs, stream: stream.relay, urgency: call.rank },
      server,
    );
  }

  /** Cancels all attempts but the one that brings the answer. */
  #keepOnly(attempt: DirectAttempt): void {
    this.#attempts
      .filter((one) => one !== attempt)
      .forEach((one) => {
        this.#options.recorder.recordGivenUp(one.incarnationId, attempt.incarnationId);
        this.#cancel(one);
        this.#options.options.queue.handleSlotFreed(one.incarnationId, one.load.totalMs);
      });
  }

  #charge(attempt: DirectAttempt, load: ServerLoad): void {
    const { options, call } = this.#options;
    const { services, serviceId } = options;
    if (!services.accountUsage) return;
    const holdMs = load.predictHoldMs(call.work, call.expectedTokens);
    this.#charges.set(attempt, services.accountUsage.charge(serviceId, call, holdMs));
  }

  #remove(attempt: DirectAttempt): void {
    this.#attempts = this.#attempts.filter((one) => one !== attempt);
    this.#charges.get(attempt)?.settle();
    this.#charges.delete(attempt);
    if (this.#attempts.length < 2) this.#overlapTimer?.cancel();
  }

  #cancel(attempt: DirectAttempt): void {
    this.#remove(attempt);
    // An unsent request can't arrive any more: its connection is closed before it opens.
    if (!attempt.mayHaveBeenSent) this.#options.budget.recordNotRun();
    this.#countIfSent(attempt);
    attempt.cancel(ServerOutcome.Cancelled);
  }

  /** A server that is slow shows nothing either, but it can't have what was never written. */
  #countIfSent(attempt: DirectAttempt): void {
    if (attempt.mayHaveBeenSent) this.#options.retries.recordAttempt();
  }

  /** The overlap begins when the second server may have the request. */
  #scheduleOverlapEnd(): void {
    const newest = this.#newest;
    const wasSent = newest?.mayHaveBeenSent === true;
    this.#setOverlapTimer(wasSent ? MAX_STREAM_OVERLAP_MS : OVERLAP_CHECK_MS, () => {
      const isStillNewest = newest === this.#newest;
      if (newest && wasSent && isStillNewest) this.#giveUpFor(newest);
      else this.#scheduleOverlapEnd();
    });
  }

  #giveUpFor(newest: DirectAttempt): void {
    this.#owesAnswer = true;
    this.#keepOnly(newest);
  }

  #setOverlapTimer(delayMs: number, handle: () => void): void {
    const { clock } = this.#options.options.services;
    this.#overlapTimer?.cancel();
    this.#overlapTimer = clock.setTimer(delayMs, handle);
  }
}
