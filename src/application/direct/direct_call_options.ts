/**
 * What a call is made of.
 *
 * @module
 */
import type { OutputForecast } from '../../domain/direct/mod.js';
import type { SchedulerError } from '../../domain/errors/mod.js';
import type { ClientAccount, Route } from '../../domain/routing/mod.js';
import type { DirectReply, DirectRequest } from '../../ports/mod.js';
import type { DirectServices } from './direct_services.js';
import type { ServiceQueue } from './service_line.js';

/** What a call is made of. */
export interface DirectCallOptions {
  readonly request: DirectRequest;
  /** Names what it asks; all repeats of a request have the same. */
  readonly contentId: string;
  readonly reply: DirectReply;
  readonly route: Route;
  readonly serviceId: string;
  readonly account: ClientAccount | undefined;
  readonly rank: number;
  /** Whether the caller was refused before. */
  readonly isReturning: boolean;
  readonly queue: ServiceQueue;
  readonly forecast: OutputForecast;
  /** Output tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  readonly services: DirectServices;
  /** Checks right before the request leaves whether it still may. */
  readonly findDispatchRefusal: () => SchedulerError | undefined;
  /** Called once, at the end. */
  readonly onEnd: () => void;
}
