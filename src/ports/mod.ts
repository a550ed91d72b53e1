/**
 * Defines the ports of the application: abstract classes for everything outside the
 * process. Adapters implement them; tests replace them by fakes.
 *
 * @module
 */
export { Clock } from './clock.js';
export type { Timer } from './clock.js';
export { RandomSource } from './random_source.js';
export { EventLog } from './event_log.js';
export type { LogFields } from './event_log.js';
export { Hop, Tracer } from './tracer.js';
export type { Span } from './tracer.js';
export { Metrics } from './metrics.js';
export type { MetricLabels } from './metrics.js';
export { PlatformReader } from './platform.js';
export type { PlatformEntry, PlatformReadOptions, PlatformSnapshot } from './platform.js';
export {
  BackendCallError,
  BackendCallStage,
  BackendServerClient,
} from './backend_server_client.js';
export type {
  BackendAnswer,
  BackendCall,
  BackendLoad,
  CacheEvent,
  ResumePoint,
} from './backend_server_client.js';
export { ChangeFeed, HistoryCutOffError, HistoryLostError } from './change_feed.js';
export type { FeedChange, FeedChanges, FeedItem, FeedSnapshot } from './change_feed.js';
export {
  BackendFailure,
  DirectBackendClient,
  DirectReply,
  PauseKind,
  RateLimitKind,
} from './direct_calls.js';
export type {
  BackendExchange,
  BackendHead,
  BackendListener,
  BackendRequest,
  DirectHead,
  DirectRequest,
  PauseNotice,
  RateNotice,
  RawHeaders,
  ReportedLoad,
  ServerEvidence,
  ServerNotice,
} from './direct_calls.js';
export { ProbeCause, Reachability, ServerProbe } from './server_probe.js';
export { PeerNetwork } from './peer_network.js';
export type { LinkEvent, PeerMessageHandler, PeerMessageOf } from './peer_network.js';
export * from './crash_messages.js';
export * from './forward_messages.js';
export { PeerMessageType } from './peer_message_type.js';
export * from './peer_messages.js';
export * from './proxy_messages.js';
export * from './report_messages.js';
export * from './stream_messages.js';
