/**
 * Handles one call from its arrival to its end.
 *
 * @module
 */
import type { Candidate, RequestWork } from '../../domain/backend_servers/mod.js';
import { ANONYMOUS_ACCOUNT } from '../../domain/direct/mod.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { intersectRegions } from '../../domain/places/mod.js';
import type { AllowedRegions } from '../../domain/places/mod.js';
import { mayContinueStream } from '../../domain/streams/mod.js';
import type { StreamOrigin } from '../../domain/streams/mod.js';
import { BackendFailure } from '../../ports/mod.js';
import type { LogFields, Timer } from '../../ports/mod.js';
import { PermitKind } from '../crashes/mod.js';
import type { Permit } from '../crashes/mod.js';
import { buildShedRefusal, findRejection, hasTriedAll } from './_call_rejection.js';
import { CallRecorder, buildAnswerFields } from './_call_recorder.js';
import { CallReply } from './_call_reply.js';
import { CallStream } from './_call_stream.js';
import { CallRetries } from './_call_retries.js';
import { AttemptBudget } from './_attempt_budget.js';
import { AttemptsInFlight } from './_attempts_in_flight.js';
import type { DirectAttempt } from './_direct_attempt.js';
import { deriveAttemptCause, EndCause } from './_end_cause.js';
import type { DirectAttemptResult } from './_attempt_result.js';
import { ScheduledCall } from './_scheduled_call.js';
import { SilencePolicy } from './_silence_policy.js';
import type { PermittedServer } from './_silence_policy.js';
import { ProbationWait } from './_probation_wait.js';
import { mayAttemptHaveRun, CrashEvidence } from './_crash_evidence.js';
import type { DirectCallOptions } from './direct_call_options.js';
import type { QueuedCall } from './service_queue_options.js';

/** Queues a call, sends it, retries it where its route allows that, and answers it once. */
export class DirectCall extends ScheduledCall implements QueuedCall {
  readonly work: RequestWork;

  readonly expectedTokens: number;

  readonly rank: number;

  readonly accountId: string;

  readonly weight: number;

  readonly regions: AllowedRegions;

  readonly excluded = new Set<string>();

  readonly #options: DirectCallOptions;

  readonly #inFlight: AttemptsInFlight;

  readonly #stream: CallStream;

  readonly #attempts: AttemptBudget;

  #hasEnded = false;

  #probationWait: ProbationWait | undefined;

  readonly #reply: CallReply;

  readonly #timer: Timer;

  readonly #recorder: CallRecorder;

  readonly #retries: CallRetries;

  readonly #silence: SilencePolicy;

  readonly #crashEvidence: CrashEvidence;

  /** @param options - the call and what it depends on */
  constructor(options: DirectCallOptions) {
    super(options);
    this.#options = options;
    const { request, route, reply, services } = options;
    this.work = request.work;
    this.expectedTokens = options.outputEstimator.predict(this.work);
    this.rank = options.rank;
    this.accountId = options.account?.id ?? ANONYMOUS_ACCOUNT;
    this.weight = options.account?.weight ?? 1;
    this.regions = intersectRegions(route.regions, options.account?.regions);
    this.#reply = new CallReply(reply);
    this.#stream = new CallStream(options);
    this.#attempts = new AttemptBudget(this, route, services.clock);
    this.#recorder = new CallRecorder({ ...options, arrivedAtMs: this.arrivedAtMs });
    this.#retries = new CallRetries(services, options.serviceId, this.#recorder);
    const shared = { call: this, retries: this.#retries, recorder: this.#recorder };
    this.#inFlight = new AttemptsInFlight({
      ...shared,
      options,
      stream: this.#stream,
      budget: this.#attempts,
      onStall: (attempt, permit) => this.#handleStall(attempt, permit),
      onEnd: (serverId, result, permit) => this.#handleAttemptResult(serverId, result, permit),
    });
    this.#silence = new SilencePolicy({ ...options, ...shared, attempts: this.#attempts });
    this.#crashEvidence = new CrashEvidence(services, options);
    this.#timer = services.clock.setTimer(this.#attempts.timeLeftMs, () => this.endOverdue());
    reply.onDisconnect(() => this.#handleDisconnect());
  }

  /** Whether any backend server may have run the request. */
  get mayHaveRun(): boolean {
    return this.#attempts.mayHaveRun;
  }

  /** Where the stream began that the call continues; undefined if its caller has no event. */
  get origin(): StreamOrigin | undefined {
    return this.#stream.origin;
  }

  /** Whether waiting can't help, as no backend server may take the call. */
  get isHopeless(): boolean {
    const { services, serviceId } = this.#options;
    if (findRejection(services.servers, serviceId, this) !== undefined) return true;
    return !this.mayHaveRun && hasTriedAll(services.servers.listCandidates(serviceId), this);
  }

  /** Sends the call, queues it, or refuses it. */
  start(): void {
    if (this.#attempts.timeLeftMs <= 0) this.endOverdue();
    else if (this.#mustLeaveToOthers()) this.shed(0);
    else this.#options.queue.submit(this);
  }

  /** Other hosts can serve a call that has not run, and that this process would cut off. */
  #mustLeaveToOthers(): boolean {
    const { services, serviceId } = this.#options;
    if (!this.isCutByStop || this.mayHaveRun) return false;
    this.planStart(services.servers.listCandidates(serviceId));
    return services.clock.nowMs() > this.completableUntilMs;
  }

  /** What is in flight may still bring the answer; without it nobody else would end the call. */
  handleFault(error: unknown): void {
    this.#recorder.recordFault(error);
    const fault = new SchedulerError(ErrorKind.DispatchFailed, { cause: error });
    if (this.#inFlight.isEmpty) this.fail(fault, EndCause.HostFault);
  }

  grant(candidate: Candidate): void {
    const { services, contentId, details } = this.#options;
    const refusal = this.#options.findDispatchRefusal();
    if (refusal) {
      this.fail(refusal, EndCause.NotAllowed);
      return;
    }
    const server = services.servers.findEntry(candidate.id);
    if (!server || !mayContinueStream(this.origin, services.servers.versions.find(candidate.id))) {
      this.shed(0);
      return;
    }
    const permit = services.crashes.acquirePermit(
      contentId,
      details,
      this.#attempts.hasTimeForTrial,
    );
    if (permit.kind === PermitKind.Wait) this.#waitForPermit();
    else this.#send({ server, load: candidate.load, permit });
  }

  #send(next: PermittedServer): void {
    this.excluded.add(next.server.id);
    this.#inFlight.start(next);
  }

  /** Asks another server beside one that is silent, if it may bring the answer. */
  #handleStall(attempt: DirectAttempt, permit: Permit): void {
    const next = this.#silence.findNext(attempt, permit);
    if (!next) return;
    attempt.load.recordSilence();
    this.#stream.recordStream(attempt.stream);
    this.#inFlight.cancelUnsent();
    this.#send(next);
  }

  /** Waits while a trial shows whether the call's content crashes backend servers. */
  #waitForPermit(): void {
    const { services, serviceId } = this.#options;
    this.planStart(services.servers.listCandidates(serviceId));
    this.#probationWait = new ProbationWait(this.#options, this.latestStartAtMs, {
      onResume: () => this.#resubmit(),
      onExpired: (error) =>
        this.fail(error, EndCause.OnProbation, { reason: 'its content is on probation' }),
    });
  }

  #resubmit(): void {
    this.#reply.dropEmptyAnswer();
    this.start();
  }

  shed(estimatedWaitMs: number, attemptCause?: EndCause): boolean {
    const { error, cause, fields } = buildShedRefusal(this.#options, this, estimatedWaitMs);
    this.fail(error, attemptCause ?? cause, fields);
    return error.kind === ErrorKind.QueueFull;
  }

  /**
   * Ends the call with the last error answer of a server, or an error of this host. Does nothing after
   * the call has ended.
   *
   * @param error - error to answer with; once the answer has begun, it is aborted instead
   * @param cause - what ends the call. @param details - values that the decision used, for the log
   */
  fail(error: SchedulerError, cause: EndCause, details: LogFields = {}): void {
    if (this.#hasEnded) return;
    const { mayHaveRun } = this;
    const { event, fields } = this.#reply.fail({ error, cause, mayHaveRun, details });
    this.#end(event, fields);
  }

  /** @param incarnationId - ID of an incarnation of a backend server that has ended */
  handleServerEnded(incarnationId: string): void {
    this.#inFlight.expectEndAt(incarnationId);
  }

  /** @param causeId - content or part of a prompt that is no longer sent anywhere */
  handleQuarantine(causeId: string): void {
    const { contentId, details } = this.#options;
    if (![contentId, ...details.partIds].includes(causeId) || !this.#inFlight.isEmpty) return;
    const refusal = this.#options.findDispatchRefusal();
    if (refusal) this.fail(refusal, EndCause.NotAllowed);
  }

  /** Ends the call because this process stops. */
  stop(): void {
    this.#inFlight.cancelAll();
    this.fail(new SchedulerError(ErrorKind.EntryHostStopping), EndCause.HostStops);
  }

  #handleAttemptResult(serverId: string, result: DirectAttemptResult, permit: Permit): void {
    if (!mayAttemptHaveRun(result)) permit.returnUnused();
    this.#crashEvidence.recordAttempt(serverId, result, permit);
    this.#recorder.recordAnswerEnd(result);
    if (result.failure === undefined) {
      if (result.outputTokens > 0 && this.#attempts.count === 1)
        this.#options.outputEstimator.learn(this.work, result.outputTokens);
      this.#end('call_answered', buildAnswerFields(serverId, result));
    } else {
      this.#recorder.recordAttemptFailure(serverId, this.#attempts.count, result);
      this.#stream.recordStream(result.stream);
      this.#handleFailure(serverId, result);
    }
    this.#options.queue.handleSlotFreed(serverId, result.totalMs);
  }

  #handleFailure(serverId: string, result: DirectAttemptResult): void {
    const { failure = BackendFailure.Broken, reason } = result;
    const cause = deriveAttemptCause(failure, reason);
    const mayHaveRun = mayAttemptHaveRun({ failure });
    if (!mayHaveRun) this.#attempts.recordNotRun();
    if (failure === BackendFailure.Misdirected)
      this.#options.services.servers.recordEnded(serverId);
    this.#reply.recordFailure(result);
    if (!this.#inFlight.isEmpty) return;
    const isAllowed = mayHaveRun ? this.#attempts.mayRunAgain() : this.#attempts.maySendAgain();
    const isUncountedRetry = failure === BackendFailure.NotSent;
    const canResume = !this.#options.reply.hasStarted || this.#stream.canContinue;
    const mayFollow = isAllowed && canResume;
    if (mayFollow && (isUncountedRetry || this.#retries.take())) this.#resubmit();
    // The silent server would have gone on: it was this host that left the caller without it.
    else if (mayFollow && this.#options.reply.hasStarted && this.#inFlight.owesAnswer)
      this.#retries.wait(() => this.#resubmit());
    else if (mayHaveRun) this.fail(new SchedulerError(ErrorKind.BackendServerLost), cause);
    else this.shed(0, cause);
  }

  /** Ends the call, whose time is over. */
  endOverdue(): void {
    this.#inFlight.cancelAll();
    const kind = this.mayHaveRun ? ErrorKind.AnswerTimeout : ErrorKind.DeadlineUnreachable;
    this.fail(new SchedulerError(kind), EndCause.Deadline);
  }

  #handleDisconnect(): void {
    if (this.#hasEnded) return;
    const wasSent = !this.#inFlight.isEmpty;
    this.#inFlight.cancelAll();
    this.#end('caller_gone', { wasSent });
  }

  #end(event: string, fields: LogFields): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#timer.cancel();
    this.#probationWait?.cancel();
    this.#options.queue.remove(this);
    this.#retries.release();
    this.#recorder.recordEnd(event, fields);
    this.#options.onEnd();
  }
}
