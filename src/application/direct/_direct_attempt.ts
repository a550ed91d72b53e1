/**
 * One try of a call at one backend server.
 *
 * @module
 */
import { ServerOutcome } from '../../domain/backend_servers/mod.js';
import type { ServerLoad } from '../../domain/backend_servers/mod.js';
import { formatReason } from '../../domain/errors/mod.js';
import type { Route } from '../../domain/routing/mod.js';
import { BackendFailure } from '../../ports/mod.js';
import type {
  BackendExchange,
  BackendHead,
  BackendListener,
  BackendRequest,
  Clock,
  DirectBackendClient,
  DirectReply,
} from '../../ports/mod.js';
import { StreamRelay, BufferedRelay } from './_answer_relay.js';
import type { AnswerRelay } from './_answer_relay.js';
import { StallDetector } from './_stall_watch.js';

/** Statuses that promise that a request has not run; only a backend server's own word may say so. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** How a try ended. */
export interface AttemptResult {
  /** Undefined when the caller has the whole answer. */
  readonly failure: BackendFailure | undefined;
  /** Whether the server's answer came whole, whatever its status. */
  readonly isComplete: boolean;
  /** Whether the end of the server's answer was marked. */
  readonly isFramed: boolean;
  readonly reason: string;
  readonly status: number;
  readonly firstByteMs: number;
  /** What the time to the first byte was predicted as, in milliseconds. */
  readonly predictedFirstByteMs: number;
  /** Time from its start to its end, in milliseconds. */
  readonly totalMs: number;
  /** Output that it had, in tokens; 0 where it isn't a stream. */
  readonly outputTokens: number;
  /** The stream as far as the caller has it. */
  readonly stream: StreamRelay | undefined;
  /** Passes on what the server answered, where no other server is tried. */
  readonly sendFallback: (() => void) | undefined;
}

/** What a try needs. */
export interface DirectAttemptOptions {
  readonly backend: DirectBackendClient;
  readonly clock: Clock;
  readonly reply: DirectReply;
  readonly route: Route;
  readonly load: ServerLoad;
  /** The stream that goes on, where this is not the first try. */
  readonly stream: StreamRelay | undefined;
  readonly request: BackendRequest;
  /** Output tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** @returns whether another backend server may take over */
  readonly mayFailOver: () => boolean;
  readonly onEnd: (end: AttemptResult) => void;
}

/** Sends the request, passes the answer on, and notices when it stalls. */
export class DirectAttempt implements BackendListener {
  readonly #options: DirectAttemptOptions;

  readonly #startedAtMs: number;

  readonly #predictedFirstByteMs: number;

  /** Events that the caller had before this try. */
  readonly #initialEventCount: number;

  #exchange: BackendExchange | undefined;

  #relay: AnswerRelay | undefined;

  #stream: StreamRelay | undefined;

  #status = 0;

  #isFramed = false;

  #firstByteMs = 0;

  readonly #stallDetector: StallDetector;

  #hasEnded = false;

  /** @param options - the try */
  constructor(options: DirectAttemptOptions) {
    this.#options = options;
    this.#stream = options.stream;
    this.#initialEventCount = options.stream?.eventCount ?? 0;
    this.#startedAtMs = options.clock.nowMs();
    this.#predictedFirstByteMs = options.load.predictFirstByteMs(this.#work);
    this.#stallDetector = new StallDetector({
      ...options,
      predictedFirstByteMs: this.#predictedFirstByteMs,
      onStall: () => this.#abandon('nothing came for too long', ServerOutcome.Silent),
    });
  }

  /** Sends the request. */
  start(): void {
    const { backend, request, load, clock } = this.#options;
    load.begin(this.#work);
    load.warmup.noteSent(clock.nowMs());
    try {
      this.#exchange = backend.send(request, this);
    } catch (error) {
      this.#end(BackendFailure.NotSent, formatReason(error));
      return;
    }
    this.#stallDetector.start();
  }

  /** Whether the backend server may have any of the request. */
  get mayHaveBeenSent(): boolean {
    return this.#exchange?.mayHaveLeft !== false;
  }

  /** @param outcome - how the try counts for the backend server */
  cancel(outcome: ServerOutcome): void {
    if (this.#hasEnded) return;
    this.#finish(outcome);
    this.#exchange?.cancel();
  }

  /** Life of the backend server that it is at. */
  get incarnationId(): string {
    return this.#options.request.lifeId;
  }

  /**
   * Ends it because its server has started anew. The former life's connection may stay
   * silent until the caller's time is over: the requests of a server that lost power
   * would wait for an answer that nobody works on.
   */
  abandonEndedServer(): void {
    if (!this.#hasEnded) this.#abandon('its server has started anew');
  }

  onHead(head: BackendHead): void {
    this.#status = head.status;
    this.#isFramed = head.isFramed;
    const { reply, clock, route } = this.#options;
    if (!head.isEventStream || head.status !== 200) {
      if (reply.hasBegun) this.#abandon(`status ${head.status} is not the rest of a stream`);
      else this.#relay = new BufferedRelay(head, reply);
      return;
    }
    this.#stream ??= new StreamRelay(head, reply, () => clock.nowMs());
    this.#stream.restart();
    this.#relay = this.#stream;
    if (!route.isStream) this.#noteFirstByte();
  }

  onBody(bytes: Buffer): void {
    if (this.#hasEnded) return;
    this.#noteFirstByte();
    try {
      this.#relay?.write(bytes);
    } catch (error) {
      this.#abandon(formatReason(error));
    }
  }

  onWhole(): void {
    if (this.#hasEnded) return;
    this.#noteFirstByte();
    const isServerError = this.#status >= 500 || NOT_RUN_STATUSES.has(this.#status);
    if (isServerError && !this.#hasBegun) this.#endWithServerError();
    else {
      this.#relay?.end();
      this.#end(undefined, '');
    }
  }

  onFailure(failure: BackendFailure, reason: string): void {
    this.#end(failure, reason);
  }

  get #work(): BackendRequest['request']['work'] {
    return this.#options.request.request.work;
  }

  get #hasBegun(): boolean {
    return this.#relay?.hasBegun === true;
  }

  /**
   * A server that ran the request and answered with an error may be followed by
   * another one. Its answer is kept for the case that none is; one whose status
   * would promise that nothing ran is not passed on.
   */
  #endWithServerError(): void {
    const relay = this.#relay;
    const mayForward = !NOT_RUN_STATUSES.has(this.#status);
    this.#end(
      BackendFailure.Broken,
      `answered with status ${this.#status}`,
      mayForward ? () => relay?.end() : undefined,
      ServerOutcome.Erred,
    );
  }

  /** Ends the run at the server before anything goes on elsewhere. */
  #abandon(reason: string, outcome = ServerOutcome.Failed): void {
    this.#exchange?.cancel();
    this.#end(BackendFailure.Broken, reason, undefined, outcome);
  }

  #noteFirstByte(): void {
    if (this.#firstByteMs > 0) return;
    const { clock, load } = this.#options;
    this.#firstByteMs = Math.max(0.1, clock.nowMs() - this.#startedAtMs);
    load.noteFirstByte(this.#work);
    this.#stallDetector.noteFirstByte(this.#stream);
  }

  #end(
    failure: BackendFailure | undefined,
    reason: string,
    sendFallback: (() => void) | undefined = undefined,
    outcome = toServerOutcome(failure),
  ): void {
    if (this.#hasEnded) return;
    this.#finish(outcome);
    const { clock, load, onEnd } = this.#options;
    const totalMs = clock.nowMs() - this.#startedAtMs;
    const outputTokens = this.#countOutputTokens();
    if (failure === undefined && this.#status < 300) {
      load.speed.observe({
        prefillTokens: this.#work.promptTokens,
        outputTokens,
        firstByteMs: this.#firstByteMs,
        totalMs,
      });
    }
    onEnd({
      failure,
      isComplete: failure === undefined || outcome === ServerOutcome.Erred,
      isFramed: this.#isFramed,
      reason,
      status: this.#status,
      firstByteMs: this.#firstByteMs,
      predictedFirstByteMs: this.#predictedFirstByteMs,
      totalMs,
      outputTokens,
      stream: this.#stream,
      sendFallback,
    });
  }

  /** What earlier backend servers have generated of a stream isn't this one's work. */
  #countOutputTokens(): number {
    const eventCount = (this.#stream?.eventCount ?? 0) - this.#initialEventCount;
    return eventCount * this.#options.tokensPerEvent;
  }

  #finish(outcome: ServerOutcome): void {
    this.#hasEnded = true;
    this.#stallDetector.stop();
    const { clock, load } = this.#options;
    if (this.#firstByteMs === 0) load.noteFirstByte(this.#work);
    load.end(outcome, clock.nowMs());
  }
}

function toServerOutcome(failure: BackendFailure | undefined): ServerOutcome {
  if (failure === undefined) return ServerOutcome.Answered;
  return failure === BackendFailure.Declined ? ServerOutcome.Declined : ServerOutcome.Failed;
}
