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
import { findObstacle } from './_call_obstacle.js';
import { CallRecorder, buildAnswerFields } from './_call_recorder.js';
import { CallTries } from './_call_tries.js';
import { DirectAttempt } from './_direct_attempt.js';
import type { AttemptEnd } from './_direct_attempt.js';
import { DoubtWait } from './_doubt_wait.js';
import { hasRun, RunEvidence } from './_run_evidence.js';
import type { StreamRelay } from './_answer_relay.js';
import type { DirectCallOptions } from './direct_call_options.js';
import type { LineCall } from './service_line.js';

/** Waits, is sent, sent again where that is allowed, and answered once. */
export class DirectCall implements LineCall {
  readonly work: RequestWork;

  readonly expectedTokens: number;

  readonly rank: number;

  readonly isLate: boolean;

  readonly arrivedAtMs: number;

  readonly regions: Regions;

  readonly excluded = new Set<string>();

  readonly #options: DirectCallOptions;

  /** When the caller or the route's timeout ends the wait. */
  readonly endsAtMs: number;

  startByMs: number;

  #attempt: DirectAttempt | undefined;

  #stream: StreamRelay | undefined;

  readonly #tries: CallTries;

  #hasEnded = false;

  #wait: DoubtWait | undefined;

  readonly #timer: Timer;

  readonly #recorder: CallRecorder;

  readonly #evidence: RunEvidence;

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
    const longestMs = Math.min(request.deadlineMs ?? Infinity, route.timeoutMs);
    this.endsAtMs = this.arrivedAtMs + longestMs;
    this.#tries = new CallTries(this, route, services.clock);
    this.startByMs =
      this.arrivedAtMs +
      computeWaitMs({ isLate: this.isLate, timeLeftMs: longestMs, targetMs: route.targetMs });
    this.#recorder = new CallRecorder({ ...options, arrivedAtMs: this.arrivedAtMs });
    this.#evidence = new RunEvidence(services, options.contentId);
    this.#timer = services.clock.setTimer(longestMs, () => this.#handleTimeout());
    reply.onGone(() => this.#handleGone());
  }

  /** Whether any backend server may have run it. */
  get mayHaveRun(): boolean {
    return this.#tries.mayHaveRun;
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
    if (this.#findObstacle()) this.giveUp(0);
    else this.#options.line.submit(this);
  }

  #findObstacle(): ErrorKind | undefined {
    return findObstacle(this.#options.services.servers, this.#options.serviceId, this.regions);
  }

  grant({ id, load }: Candidate): void {
    const { services, route, request, account } = this.#options;
    const refusal = this.#options.checkDispatch();
    if (refusal) {
      this.fail(refusal);
      return;
    }
    const server = services.servers.find(id);
    if (!server) {
      this.giveUp(0);
      return;
    }
    const pass = services.crashes.takePass(this.#options.contentId, this.#tries.hasTimeForTrial);
    if (pass.kind === PassKind.Wait) {
      this.#waitForPass();
      return;
    }
    this.#tries.noteSent();
    if (this.#tries.count === 1) services.noteAttempt(server.serviceId);
    this.#recorder.noteDispatch(id, {
      inFlight: load.inFlight,
      attempt: this.#tries.count,
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
      mayMove: () => pass.kind !== PassKind.Trial && this.#tries.mayRunAgain(),
      request: buildBackendRequest(
        { request, account, leftMs: this.#tries.leftMs, stream: this.#stream },
        server,
      ),
      onEnd: (end) => this.#handleAttemptEnd(id, end, pass),
    });
    this.#attempt.start();
  }

  /** Waits while another request of its content shows whether that ends servers. */
  #waitForPass(): void {
    this.#wait = new DoubtWait(this.#options, this.endsAtMs, {
      onResume: () => this.#submitAgain(),
      onExpired: (error) => this.fail(error, { reason: 'its content is in doubt' }),
    });
  }

  #submitAgain(): void {
    const { line, services } = this.#options;
    this.startByMs = services.clock.nowMs() + computeMoveWaitMs(this.#tries.leftMs);
    line.submit(this);
  }

  giveUp(clearMs: number): void {
    const { services, route } = this.#options;
    const nowMs = services.clock.nowMs();
    const aimEndsAtMs = this.isLate ? nowMs : this.arrivedAtMs + route.targetMs * AIM_WAIT_PART;
    const retryAfterMs = computeReturnMs({
      clearMs,
      timeLeftMs: this.#tries.leftMs,
      aimLeftMs: aimEndsAtMs - nowMs,
      fraction: services.random.nextFraction(),
    });
    const kind = this.#findObstacle() ?? ErrorKind.QueueFull;
    this.fail(new SchedulerError(kind, { retryAfterMs }), { clearMs });
  }

  /**
   * Ends it with an error.
   *
   * @param error - the answer, if nothing was answered yet
   * @param inputs - what decided, for the log
   */
  fail(error: SchedulerError, inputs: Readonly<Record<string, number | string>> = {}): void {
    if (this.#hasEnded) return;
    const honest =
      this.mayHaveRun && error.status === 503
        ? new SchedulerError(ErrorKind.BackendServerLost)
        : error;
    const { hasBegun } = this.#options.reply;
    if (hasBegun) this.#options.reply.abort();
    else this.#options.reply.refuse(honest);
    this.#end(hasBegun ? 'call_broken_off' : 'call_refused', {
      kind: honest.kind,
      run: honest.run,
      retryAfterMs: honest.retryAfterMs,
      ...inputs,
    });
  }

  /** @param lifeId - a life of a backend server that has ended */
  noteServerEnded(lifeId: string): void {
    if (this.#attempt?.lifeId === lifeId) this.#attempt.abandonEnded();
  }

  /** @param contentId - a content that is sent to no server any more */
  noteHeld(contentId: string): void {
    if (contentId !== this.#options.contentId || this.#attempt) return;
    const refusal = this.#options.checkDispatch();
    if (refusal) this.fail(refusal);
  }

  /** Ends it because this process ends. */
  stop(): void {
    this.#cancelAttempt();
    this.fail(new SchedulerError(ErrorKind.EntryHostStopping));
  }

  #handleAttemptEnd(serverId: string, end: AttemptEnd, pass: Pass): void {
    if (!hasRun(end)) pass.handBack();
    this.#attempt = undefined;
    this.excluded.add(serverId);
    this.#evidence.note(serverId, end);
    if (end.failure === undefined) {
      if (end.outputTokens > 0 && this.#tries.count === 1)
        this.#options.forecast.learn(this.work, end.outputTokens);
      this.#end('call_answered', buildAnswerFields(serverId, end));
    } else {
      this.#recorder.noteFailure(serverId, this.#tries.count, end);
      this.#stream = end.stream?.hasBegun ? end.stream : undefined;
      this.#handleFailure(serverId, end);
    }
    this.#options.line.noteFreed(serverId, end.totalMs);
  }

  #handleFailure(serverId: string, { failure, fallback }: AttemptEnd): void {
    const { services, serviceId } = this.#options;
    const mayHaveRun = hasRun({ failure });
    if (!mayHaveRun) this.#tries.noteNotRun();
    if (failure === BackendFailure.Misdirected) services.servers.noteEnded(serverId);
    const isAllowed = mayHaveRun ? this.#tries.mayRunAgain() : this.#tries.maySendAgain();
    const canGoOn = !this.#options.reply.hasBegun || this.#stream?.lastEventId !== undefined;
    // A request that was never written costs the service nothing; all others count as retries.
    const isFree = failure === BackendFailure.NotSent;
    if (isAllowed && canGoOn && (isFree || services.takeRetry(serviceId))) {
      this.#submitAgain();
    } else if (fallback && !this.#options.reply.hasBegun) {
      fallback();
      this.#end('call_answered', { backendServer: serverId, failure });
    } else if (mayHaveRun) this.fail(new SchedulerError(ErrorKind.BackendServerLost));
    else this.giveUp(0);
  }

  #cancelAttempt(): void {
    // What has not left can't arrive any more: its connection is closed before it is open.
    if (this.#attempt?.mayHaveLeft === false) this.#tries.noteNotRun();
    this.#attempt?.cancel(ServerOutcome.Cancelled);
  }

  #handleTimeout(): void {
    this.#cancelAttempt();
    const kind = this.mayHaveRun ? ErrorKind.AnswerTimeout : ErrorKind.DeadlineUnreachable;
    this.fail(new SchedulerError(kind));
  }

  #handleGone(): void {
    if (this.#hasEnded) return;
    this.#cancelAttempt();
    this.#end('caller_gone', { wasSent: this.#attempt !== undefined });
  }

  #end(event: string, fields: LogFields): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#timer.cancel();
    this.#wait?.end();
    this.#options.line.remove(this);
    this.#recorder.noteEnd(event, fields);
    this.#options.onEnd();
  }
}
