/**
 * Dependencies and request of one attempt of a call.
 *
 * @module
 */
import type { ServerLoad } from '../../domain/backend_servers/mod.js';
import type { Route } from '../../domain/routing/mod.js';
import type { BackendRequest, DirectReply } from '../../ports/mod.js';
import type { StreamRelay } from './_answer_relay.js';
import type { DirectAttemptResult } from './_attempt_result.js';
import type { DirectServices } from './direct_services.js';

/** Dependencies and request of an attempt. */
export interface DirectAttemptOptions {
  readonly services: Pick<DirectServices, 'answers' | 'backend' | 'clock' | 'servers'>;
  readonly reply: DirectReply;
  readonly route: Route;
  readonly load: ServerLoad;
  /** The stream that this attempt continues; undefined on a first attempt. */
  readonly stream: StreamRelay | undefined;
  readonly request: BackendRequest;
  /** Output tokens per event of a stream. */
  readonly tokensPerEvent: number;
  /** Called while the attempt is silent for longer than its limit, again and again. */
  readonly onStall: () => void;
  /** Called before a part of the answer is passed on: no other attempt may do so from then on. */
  readonly onTakeOver: () => void;
  /** Called with each sign that the backend server received the request. */
  readonly onArrival: () => void;
  /** Called immediately before the caller is sent the first event of the answer. */
  readonly onBegin: () => void;
  readonly onEnd: (end: DirectAttemptResult) => void;
}
