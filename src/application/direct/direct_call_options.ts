/**
 * Parameters and dependencies of a call.
 *
 * @module
 */
import type { AnswerTimeEstimator, OutputEstimator } from '../../domain/direct/mod.js';
import type { SchedulerError } from '../../domain/errors/mod.js';
import type { ClientAccount, Route } from '../../domain/routing/mod.js';
import type { StreamOrigin } from '../../domain/streams/mod.js';
import type { DirectReply, DirectRequest } from '../../ports/mod.js';
import type { RequestDetails } from '../crashes/mod.js';
import type { DirectServices } from './direct_services.js';
import type { ServiceQueue } from './service_queue.js';

/** Parameters and dependencies of a call. */
export interface DirectCallOptions {
  readonly request: DirectRequest;
  /** Hash of what the call requests. All repeats of a request have the same content ID. */
  readonly contentId: string;
  /** Parts of its prompt that other calls may share, and its account. */
  readonly details: RequestDetails;
  readonly reply: DirectReply;
  readonly route: Route;
  readonly serviceId: string;
  readonly account: ClientAccount | undefined;
  readonly rank: number;
  /** Where the stream began that the call takes up; undefined if it takes up none. */
  readonly origin?: StreamOrigin | undefined;
  /** Called immediately before the first event of the answer is sent to the caller. */
  readonly onBegin: (origin: StreamOrigin) => void;
  /** Time for which the call has waited already, in milliseconds. */
  readonly waitedMs: number;
  readonly queue: ServiceQueue;
  readonly outputEstimator: OutputEstimator;
  /** Times of the route's answers against predictions. */
  readonly answerTimes: AnswerTimeEstimator;
  /** Output tokens per event of a stream. */
  readonly tokensPerEvent: number;
  readonly services: DirectServices;
  /** Checks again immediately before dispatch; returns why the call must not be sent. */
  readonly findDispatchRefusal: () => SchedulerError | undefined;
  /** Called once, when the call ends. */
  readonly onEnd: () => void;
}
