/**
 * One call from its arrival to its end.
 *
 * @module
 */
import { ServerOutcome } from '../../domain/backend_servers/mod.js';
import type { Candidate, RequestWork } from '../../domain/backend_servers/mod.js';
import {
  AIM_WAIT_PART,
  computeMoveWaitMs,
  computeReturnMs,
  computeWaitMs,
} from '../../domain/direct/mod.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { intersectRegions } from '../../domain/places/mod.js';
import type { Regions } from '../../domain/places/mod.js';
import type { ClientAccount } from '../../domain/routing/mod.js';
import { BackendFailure } from '../../ports/mod.js';
import type { DirectRequest, LogFields, Timer } from '../../ports/mod.js';
import { PassKind } from '../crashes/mod.js';
import type { Pass } from '../crashes/mod.js';
import { buildBackendRequest } from './_backend_request.js';
import { findRejection } from './_call_obstacle.js';
import { CallRecorder, buildAnswerFields } from './_call_recorder.js';
import { AttemptBudget } from './_call_tries.js';
import { DirectAttempt } from './_direct_attempt.js';
import type { AttemptResult } from './_direct_attempt.js';
import { SuspectWait } from './_doubt_wait.js';
import { mayAttemptHaveRun, CrashEvidence } from './_run_evidence.js';
import type { StreamRelay } from './_answer_relay.js';
import type { DirectCallOptions } from './direct_call_options.js';
import type { QueuedCall } from './service_line.js';

/** Waits, is sent, sent again where that is allowed, and answered once. */
export class DirectCall implements QueuedCall {
  readonly work: RequestWork;

  readonly expectedTokens: number;

  readonly rank: number;

  readonly isLate: boolean;

  readonly arrivedAtMs: number;

  readonly regions: Regions;

  readonly excluded = new Set<string>();

  readonly #options: DirectCallOptions;

  /** When the caller or the route's timeout ends the wait. */
  readonly deadlineAtMs: number;

  startByMs: number;

  #attempt: DirectAttempt | undefined;

  #stream: StreamRelay | undefined;

  readonly #attempts: AttemptBudget;

  #hasEnded = false;

  #suspectWait: SuspectWait | undefined;

  readonly #timer: Timer;

  readonly #recorder: CallRecorder;

  readonly #crashEvidence: CrashEvidence;

  /** @param options - the call */
  constructor(options: DirectCallOptions) {
    this.#options = options;
    const { request, route, reply, services } = options;
    this.work = request.work;
    this.expectedTokens = options.forecast.predict(this.work);
    this.rank = options.rank;
    this.regions = intersectRegions(route.regions, options.account?.regions);
    this.isLate = options.isReturning;
    this.arrivedAtMs = services.clock.nowMs();
    const timeoutMs = Math.min(request.deadlineMs ?? Infinity, route.timeoutMs);
    this.deadlineAtMs = this.arrivedAtMs + timeoutMs;
    this.#attempts = new AttemptBudget(this, route, services.clock);
    this.startByMs =
      this.arrivedAtMs +
      computeWaitMs({ isLate: this.isLate, timeLeftMs: timeoutMs, targetMs: route.targetMs });
    this.#recorder = new CallRecorder({ ...options, arrivedAtMs: this.arrivedAtMs });
    this.#crashEvidence = new CrashEvidence(services, options.contentId);
    this.#timer = services.clock.setTimer(timeoutMs, () => this.#handleTimeout());
    reply.onGone(() => this.#handleDisconnect());
  }

  /** Whether any backend server may have run it. */
  get mayHaveRun(): boolean {
    return this.#attempts.mayHaveRun;
  }

  /** Client account, where there is one. */
  get account(): ClientAccount | undefined {
    return this.#options.account;
  }

  /** The request itself. */
  get request(): DirectRequest {
    return this.#options.request;
  }

  /** It is sent, waits, or is refused. */
  start(): void {
    if (this.#findRejection()) this.shed(0);
    else this.#options.queue.submit(this);
  }

  #findRejection(): ErrorKind | undefined {
    return findRejection(this.#options.services.servers, this.#options.serviceId, this.regions);
  }

  grant({ id, load }: Candidate): void {
    const { services, route, request, account } = this.#options;
    const refusal = this.#options.findDispatchRefusal();
    if (refusal) {
      this.fail(refusal);
      return;
    }
    const server = services.servers.find(id);
    if (!server) {
      this.shed(0);
      return;
    }
    const pass = services.crashes.takePass(this.#options.contentId, this.#attempts.hasTimeForTrial);
    if (pass.kind === PassKind.Wait) {
      this.#waitForPass();
      return;
    }
    this.#attempts.noteSent();
    if (this.#attempts.count === 1) services.noteFirstAttempt(server.serviceId);
    this.#recorder.recordDispatch(id, {
      inFlight: load.inFlight,
      attempt: this.#attempts.count,
      isReturning: this.isLate,
      promptTokens: this.work.promptTokens,
      expectedTokens: Math.round(this.expectedTokens),
    });
    this.#attempt = new DirectAttempt({
      backend: services.backend,
      clock: services.clock,
      reply: this.#options.reply,
      route,
      load,
      stream: this.#stream,
      tokensPerEvent: this.#options.tokensPerEvent,
      // What a trial shows is worth more than a server that may be faster.
      mayFailOver: () => pass.kind !== PassKind.Trial && this.#attempts.mayRunAgain(),
      request: buildBackendRequest(
        { request, account, timeLeftMs: this.#attempts.timeLeftMs, stream: this.#stream },
        server,
      ),
      onEnd: (end) => this.#handleAttemptResult(id, end, pass),
    });
    this.#attempt.start();
  }

  /** Waits while another request of its content shows whether that ends servers. */
  #waitForPass(): void {
    this.#suspectWait = new SuspectWait(this.#options, this.deadlineAtMs, {
      onResume: () => this.#resubmit(),
      onExpired: (error) => this.fail(error, { reason: 'its content is in doubt' }),
    });
  }

  #resubmit(): void {
    const { queue, services } = this.#options;
    this.startByMs = services.clock.nowMs() + computeMoveWaitMs(this.#attempts.timeLeftMs);
    queue.submit(this);
  }

  shed(estimatedWaitMs: number): void {
    const { services, route } = this.#options;
    const nowMs = services.clock.nowMs();
    const targetEndsAtMs = this.isLate ? nowMs : this.arrivedAtMs + route.targetMs * AIM_WAIT_PART;
    const retryAfterMs = computeReturnMs({
      clearMs: estimatedWaitMs,
      timeLeftMs: this.#attempts.timeLeftMs,
      aimLeftMs: targetEndsAtMs - nowMs,
      fraction: services.random.nextFraction(),
    });
    const kind = this.#findRejection() ?? ErrorKind.QueueFull;
    this.fail(new SchedulerError(kind, { retryAfterMs }), { clearMs: estimatedWaitMs });
  }

  /**
   * Ends it with an error.
   *
   * @param error - the answer, if nothing was answered yet
   * @param details - what decided, for the log
   */
  fail(error: SchedulerError, details: Readonly<Record<string, number | string>> = {}): void {
    if (this.#hasEnded) return;
    const reportedError =
      this.mayHaveRun && error.status === 503
        ? new SchedulerError(ErrorKind.BackendServerLost)
        : error;
    const { hasBegun } = this.#options.reply;
    if (hasBegun) this.#options.reply.abort();
    else this.#options.reply.refuse(reportedError);
    this.#end(hasBegun ? 'call_broken_off' : 'call_refused', {
      kind: reportedError.kind,
      run: reportedError.run,
      retryAfterMs: reportedError.retryAfterMs,
      ...details,
    });
  }

  /** @param incarnationId - a life of a backend server that has ended */
  handleServerEnded(incarnationId: string): void {
    if (this.#attempt?.incarnationId === incarnationId) this.#attempt.abandonEndedServer();
  }

  /** @param quarantinedId - a content that is sent to no server any more */
  handleQuarantine(quarantinedId: string): void {
    if (quarantinedId !== this.#options.contentId || this.#attempt) return;
    const refusal = this.#options.findDispatchRefusal();
    if (refusal) this.fail(refusal);
  }

  /** Ends it because this process ends. */
  stop(): void {
    this.#cancelAttempt();
    this.fail(new SchedulerError(ErrorKind.EntryHostStopping));
  }

  #handleAttemptResult(serverId: string, end: AttemptResult, pass: Pass): void {
    if (!mayAttemptHaveRun(end)) pass.handBack();
    this.#attempt = undefined;
    this.excluded.add(serverId);
    this.#crashEvidence.recordAttempt(serverId, end);
    if (end.failure === undefined) {
      if (end.outputTokens > 0 && this.#attempts.count === 1)
        this.#options.forecast.learn(this.work, end.outputTokens);
      this.#end('call_answered', buildAnswerFields(serverId, end));
    } else {
      this.#recorder.recordAttemptFailure(serverId, this.#attempts.count, end);
      this.#stream = end.stream?.hasBegun ? end.stream : undefined;
      this.#handleFailure(serverId, end);
    }
    this.#options.queue.handleSlotFreed(serverId, end.totalMs);
  }

  #handleFailure(serverId: string, { failure, sendFallback }: AttemptResult): void {
    const { services, serviceId } = this.#options;
    const mayHaveRun = mayAttemptHaveRun({ failure });
    if (!mayHaveRun) this.#attempts.noteNotRun();
    if (failure === BackendFailure.Misdirected) services.servers.noteEnded(serverId);
    const isAllowed = mayHaveRun ? this.#attempts.mayRunAgain() : this.#attempts.maySendAgain();
    const canResume = !this.#options.reply.hasBegun || this.#stream?.lastEventId !== undefined;
    // A request that was never written costs the service nothing; all others count as retries.
    const isUncountedRetry = failure === BackendFailure.NotSent;
    if (isAllowed && canResume && (isUncountedRetry || services.takeRetry(serviceId))) {
      this.#resubmit();
    } else if (sendFallback && !this.#options.reply.hasBegun) {
      sendFallback();
      this.#end('call_answered', { backendServer: serverId, failure });
    } else if (mayHaveRun) this.fail(new SchedulerError(ErrorKind.BackendServerLost));
    else this.shed(0);
  }

  #cancelAttempt(): void {
    // What has not left can't arrive any more: its connection is closed before it is open.
    if (this.#attempt?.mayHaveBeenSent === false) this.#attempts.noteNotRun();
    this.#attempt?.cancel(ServerOutcome.Cancelled);
  }

  #handleTimeout(): void {
    this.#cancelAttempt();
    const kind = this.mayHaveRun ? ErrorKind.AnswerTimeout : ErrorKind.DeadlineUnreachable;
    this.fail(new SchedulerError(kind));
  }

  #handleDisconnect(): void {
    if (this.#hasEnded) return;
    this.#cancelAttempt();
    this.#end('caller_gone', { wasSent: this.#attempt !== undefined });
  }

  #end(event: string, fields: LogFields): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#timer.cancel();
    this.#suspectWait?.cancel();
    this.#options.queue.remove(this);
    this.#recorder.recordEnd(event, fields);
    this.#options.onEnd();
  }
}
