/**
 * Runs one attempt of a call at one backend server.
 *
 * @module
 */
import { ServerOutcome } from '../../domain/backend_servers/mod.js';
import { formatReason } from '../../domain/errors/mod.js';
import { AnswerEnd, classifyAnswerEnd, describeBrokenEnd } from '../../domain/streams/mod.js';
import type { AnswerEndFacts } from '../../domain/streams/mod.js';
import { BackendFailure } from '../../ports/mod.js';
import type {
  BackendExchange,
  BackendHead,
  BackendListener,
  ServerNotice,
} from '../../ports/mod.js';
import { StreamRelay, BufferedRelay } from './_answer_relay.js';
import type { AnswerRelay } from './_answer_relay.js';
import { AttemptLoad } from './_attempt_load.js';
import type { DirectAttemptOptions } from './_attempt_options.js';
import { DiscardedAnswer, isNotRunStatus } from './_discarded_answer.js';
import { AbandonReason } from './_end_cause.js';
import { toServerOutcome } from './_attempt_result.js';
import { StallDetector } from './_stall_detector.js';

/** Silence after which a server counts as ended that is said to have restarted, in milliseconds. */
const ENDED_SILENCE_MS = 200;

/** Sends the request, relays the answer, and fails the attempt when the answer stalls. */
export class DirectAttempt implements BackendListener {
  readonly #options: DirectAttemptOptions;

  /** What the attempt means for the load of its server. */
  readonly load: AttemptLoad;

  /** Events that the caller received before this attempt. */
  readonly #initialEventCount: number;

  #exchange: BackendExchange | undefined;

  #relay: AnswerRelay | undefined;

  #stream: StreamRelay | undefined;

  #status = 0;

  #isFramed = false;

  #answerEnd: AnswerEnd | undefined;

  readonly #stallDetector: StallDetector;

  /** Whether the caller is sent what this attempt brings. */
  #hasTakenOver = false;

  #hasEnded = false;

  /** @param options - dependencies and request */
  constructor(options: DirectAttemptOptions) {
    this.#options = options;
    this.#stream = options.stream;
    this.#initialEventCount = options.stream?.eventCount ?? 0;
    const { clock } = options.services;
    this.load = new AttemptLoad(options.load, options.request.request.work, clock);
    this.#stallDetector = new StallDetector({
      ...options,
      clock,
      predictedFirstByteMs: this.load.predictedFirstByteMs,
    });
  }

  /** Sends the request. */
  start(): void {
    const { request, services } = this.#options;
    this.load.start();
    try {
      this.#exchange = services.backend.send(request, this);
    } catch (error) {
      this.#end(BackendFailure.NotSent, formatReason(error));
      return;
    }
    this.#stallDetector.start();
  }

  /** Whether the backend server may have received any part of the request. */
  get mayHaveBeenSent(): boolean {
    return this.#exchange?.mayHaveBeenSent !== false;
  }

  /**
   * Cancels the attempt.
   *
   * @param outcome - outcome that is counted for the backend server
   */
  cancel(outcome: ServerOutcome): void {
    if (this.#hasEnded) return;
    this.#finish(outcome);
    this.#exchange?.cancel();
  }

  /** The stream as far as the caller received it; undefined if the answer is none so far. */
  get stream(): StreamRelay | undefined {
    return this.#stream;
  }

  /** Incarnation ID of the backend server that the request was sent to. */
  get incarnationId(): string {
    return this.#options.request.incarnationId;
  }

  /**
   * Notes that the backend server is said to have restarted. Its connection may stay silent for good, as
   * after a power loss, or still bring the answer: the attempt ends if nothing more comes.
   */
  expectEnd(): void {
    this.#options.onStall();
    const { signCount } = this.load;
    this.#options.services.clock.setTimer(ENDED_SILENCE_MS, () => {
      if (!this.#hasEnded && this.load.signCount === signCount)
        this.#abandon(AbandonReason.Restart);
    });
  }

  onNotice(notice: ServerNotice, isAuthentic: boolean): void {
    const { onArrival, request, services } = this.#options;
    onArrival();
    this.load.recordSign();
    services.servers.recordNotice({
      requestId: request.request.requestId,
      incarnationId: request.incarnationId,
      notice,
      isAuthentic,
      sentAtMs: this.load.startedAtMs,
    });
  }

  onHead(head: BackendHead): void {
    this.#options.onArrival();
    this.load.recordHead();
    this.#status = head.status;
    this.#isFramed = head.isFramed;
    const { reply, route } = this.#options;
    if (!head.isEventStream || head.status !== 200) {
      if (reply.hasStarted) this.#abandon(`status ${head.status} cannot continue the stream`);
      else if (isNotRunStatus(head.status)) this.#relay = new DiscardedAnswer();
      else this.#relay = this.#createBuffer(head);
      return;
    }
    this.#stream ??= this.#createStream(head);
    this.#relay = this.#stream;
    if (!route.isStream) this.#recordFirstByte();
  }

  onBody(bytes: Buffer): void {
    if (this.#hasEnded) return;
    this.load.recordSign();
    if (this.#relay === this.#stream) this.#takeOver();
    this.#recordFirstByte();
    try {
      this.#relay?.write(bytes);
    } catch (error) {
      this.#abandon(formatReason(error));
    }
  }

  onComplete(): void {
    if (this.#hasEnded) return;
    this.#recordFirstByte();
    const isServerError = this.#status >= 500 || isNotRunStatus(this.#status);
    if (isServerError && !this.#hasBegun) this.#endWithServerError();
    else this.#endAnswer();
  }

  onFailure(failure: BackendFailure, reason: string): void {
    this.#end(failure, reason);
  }

  #createStream(head: BackendHead): StreamRelay {
    const { reply, onBegin, services } = this.#options;
    const { answers: budget, clock } = services;
    return new StreamRelay({ head, reply, onBegin, budget, nowMs: () => clock.nowMs() });
  }

  #createBuffer(head: BackendHead): BufferedRelay {
    const { reply, services } = this.#options;
    const onBegin = (): void => this.#takeOver();
    return new BufferedRelay({ head, reply, onBegin, budget: services.answers });
  }

  /** The server that went on before may have left an incomplete event, which is sent in full here. */
  #takeOver(): void {
    this.#options.onTakeOver();
    if (!this.#hasTakenOver) this.#stream?.restart();
    this.#hasTakenOver = true;
  }

  get #hasBegun(): boolean {
    return this.#relay?.hasBegun === true;
  }

  /** Ends the caller's answer, or fails the attempt if the backend server broke it off. */
  #endAnswer(): void {
    const relay = this.#relay;
    if (!relay) {
      this.#end(BackendFailure.Broken, 'ended without a head');
      return;
    }
    const facts = this.#buildEndFacts(relay);
    this.#answerEnd = classifyAnswerEnd(facts);
    if (this.#answerEnd !== AnswerEnd.BrokenOff) {
      this.#takeOver();
      relay.end();
      this.#end(undefined, '');
      return;
    }
    const failure = this.#isFramed ? BackendFailure.Broken : BackendFailure.Lost;
    const sendFallback = this.#mayBeWhole(facts) ? () => relay.end() : undefined;
    this.#end(failure, describeBrokenEnd(facts), sendFallback);
  }

  /** An empty answer may be meant so, but for a stream from its beginning. */
  #mayBeWhole({ isInsideEvent }: AnswerEndFacts): boolean {
    const isRest = this.#options.request.lastEventId !== undefined;
    return !isInsideEvent && !this.#hasBegun && (isRest || this.#relay !== this.#stream);
  }

  /** What an attempt without any bytes leaves in the stream is another server's. */
  #buildEndFacts(relay: AnswerRelay): AnswerEndFacts {
    const facts = relay.buildEndFacts(this.#isFramed);
    return this.#hasTakenOver || relay !== this.#stream
      ? facts
      : { ...facts, isInsideEvent: false, isEmpty: true };
  }

  /**
   * Ends the attempt after an error answer of a backend server that ran the request. Another
   * server may be tried next. The answer is kept in case there is none, unless its status
   * would tell the caller that the request did not run.
   */
  #endWithServerError(): void {
    const relay = this.#relay;
    const mayForward = !isNotRunStatus(this.#status);
    this.#end(
      BackendFailure.Broken,
      `answered with status ${this.#status}`,
      mayForward ? () => relay?.end() : undefined,
      ServerOutcome.ServerError,
    );
  }

  /** Cancels the run at the backend server before the call may fail over to another one. */
  #abandon(reason: string, outcome = ServerOutcome.Failed): void {
    const failure = this.mayHaveBeenSent ? BackendFailure.Broken : BackendFailure.NotSent;
    this.#exchange?.cancel();
    this.#end(failure, reason, undefined, outcome);
  }

  #recordFirstByte(): void {
    if (this.load.recordFirstByte()) this.#stallDetector.recordFirstByte(this.#stream);
  }

  #end(
    failure: BackendFailure | undefined,
    reason: string,
    sendFallback: (() => void) | undefined = undefined,
    outcome = toServerOutcome(failure),
  ): void {
    if (this.#hasEnded) return;
    this.#finish(outcome);
    const outputTokens = this.#countOutputTokens();
    if (failure === undefined && this.#status < 300) this.load.learnSpeed(outputTokens);
    this.#options.onEnd({
      failure,
      isComplete: failure === undefined || outcome === ServerOutcome.ServerError,
      isFramed: this.#isFramed,
      answerEnd: this.#answerEnd,
      reason,
      status: this.#status,
      firstByteMs: this.load.firstByteMs,
      predictedFirstByteMs: this.load.predictedFirstByteMs,
      totalMs: this.load.totalMs,
      outputTokens,
      stream: this.#stream,
      sendFallback,
    });
  }

  /** Counts only what this attempt generated, without the output of earlier backend servers. */
  #countOutputTokens(): number {
    const eventCount = (this.#stream?.eventCount ?? 0) - this.#initialEventCount;
    return eventCount * this.#options.tokensPerEvent;
  }

  #finish(outcome: ServerOutcome): void {
    this.#hasEnded = true;
    this.#relay?.release();
    this.#stallDetector.stop();
    this.load.end(outcome);
  }
}
