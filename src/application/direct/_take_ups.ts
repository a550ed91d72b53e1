/**
 * Calls that take up a stream, until it is known where the stream began.
 *
 * @module
 */
import { ErrorKind, LogLevel, SchedulerError } from '../../domain/errors/mod.js';
import { hashStreamKey } from '../../domain/streams/mod.js';
import type { StreamOrigin } from '../../domain/streams/mod.js';
import type { Clock, DirectReply, DirectRequest, EventLog, Metrics } from '../../ports/mod.js';
import type { OriginAnswer } from '../streams/mod.js';
import type { CheckedCall } from './_call_checks.js';
import type { StreamServices } from './stream_services.js';

/** Dependencies of {@link TakeUps}. */
export interface TakeUpsOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly streams: StreamServices;
}

/** A call that takes up a stream. */
export interface TakeUp {
  readonly checked: CheckedCall;
  readonly request: DirectRequest;
  readonly reply: DirectReply;
  /**
   * Called with where the stream began, unless the caller has gone.
   *
   * @param origin - where the stream began
   * @param waitedMs - time that this took, in milliseconds
   */
  readonly onResolved: (origin: StreamOrigin, waitedMs: number) => void;
  /** Called when the stream can't be taken up here. */
  readonly onRefused: (error: SchedulerError) => void;
}

/** Keeps calls waiting while peers are asked, and refuses those whose stream is unknown. */
export class TakeUps {
  readonly #options: TakeUpsOptions;

  /** The calls that wait; each is removed when it is settled, so that it is settled once. */
  readonly #waiting = new Set<TakeUp>();

  /** @param options - dependencies */
  constructor(options: TakeUpsOptions) {
    this.#options = options;
  }

  /** Number of calls that wait. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Refuses all calls that wait, because this process stops. */
  stop(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach(({ onRefused }) => {
      onRefused(new SchedulerError(ErrorKind.EntryHostStopping));
    });
  }

  /** @param takeUp - a call that takes up a stream */
  start(takeUp: TakeUp): void {
    const { clock, streams } = this.#options;
    const { checked, request, reply } = takeUp;
    const { account, route } = checked;
    const arrivedAtMs = clock.nowMs();
    const { resumedRequestId } = request;
    this.#waiting.add(takeUp);
    reply.onDisconnect(() => this.#waiting.delete(takeUp));
    const [service, ...otherServices] = route.services;
    streams.resolver
      .resolve({
        key: resumedRequestId && hashStreamKey(account?.id, resumedRequestId),
        serviceId: otherServices.length === 0 ? service?.serviceId : undefined,
        isAgeLimited: !route.mayBeAnonymous,
        maxWaitMs: Math.min(request.deadlineMs ?? Infinity, route.timeoutMs),
      })
      .then(
        (answer) => this.#settle(takeUp, answer, clock.nowMs() - arrivedAtMs),
        (cause: unknown) => this.#refuse(takeUp, cause),
      );
  }

  /**
   * Records a stream under the ID of its request, and of the one whose stream that takes up.
   *
   * @param checked - route and account of the call
   * @param request - the request whose answer is about to begin
   * @param origin - where the stream began
   */
  recordBegin(
    { route, account }: CheckedCall,
    { requestId, resumedRequestId }: DirectRequest,
    origin: StreamOrigin,
  ): void {
    if (!route.isResumable) return;
    const ids = resumedRequestId === undefined ? [requestId] : [requestId, resumedRequestId];
    const keys = ids.map((id) => hashStreamKey(account?.id, id));
    this.#options.streams.origins.record(keys, origin);
  }

  #settle(takeUp: TakeUp, answer: OriginAnswer, waitedMs: number): void {
    if (!this.#waiting.delete(takeUp)) return;
    this.#record(takeUp, answer, waitedMs);
    const { origin } = answer;
    const { route } = takeUp.checked;
    if (!origin) takeUp.onRefused(new SchedulerError(ErrorKind.StreamUnknown));
    else if (route.services.every(({ serviceId }) => serviceId !== origin.serviceId))
      takeUp.onRefused(new SchedulerError(ErrorKind.StreamVersionGone));
    else takeUp.onResolved(origin, waitedMs);
  }

  #refuse(takeUp: TakeUp, cause: unknown): void {
    if (this.#waiting.delete(takeUp))
      takeUp.onRefused(new SchedulerError(ErrorKind.Internal, { cause }));
  }

  #record(
    { checked, request }: TakeUp,
    { source, origin, peersAsked, peersAnswered }: OriginAnswer,
    waitedMs: number,
  ): void {
    const { log, metrics } = this.#options;
    log.write(LogLevel.Info, 'stream_taken_up', {
      requestId: request.requestId,
      takesUp: request.resumedRequestId,
      lastEventId: request.lastEventId,
      account: checked.account?.id,
      route: checked.route.name,
      source,
      service: origin?.serviceId,
      version: origin?.version,
      peersAsked,
      peersAnswered,
      waitedMs: Math.round(waitedMs),
    });
    metrics.count('streams_taken_up_total', { source });
  }
}

/**
 * @param request - a caller's request for a stream
 * @returns whether its caller has events of the stream already
 */
export function isTakeUp({ lastEventId, resumedRequestId }: DirectRequest): boolean {
  return lastEventId !== undefined || resumedRequestId !== undefined;
}
