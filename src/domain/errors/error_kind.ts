/**
 * The kinds of error that a caller can receive, and whether the request ran.
 *
 * @module
 */

/** Whether a refused or failed request ran. The values are sent in answers. */
export enum RunOutcome {
  /** No backend server received the request's body. */
  NotRun = 'not_run',
  /** A backend server ran the request. */
  Ran = 'ran',
  /** Unknown: no reachable host can tell whether the request ran. */
  MayHaveRun = 'may_have_run',
}

/** Each reason for which the system refuses or fails a request. */
export enum ErrorKind {
  // The call is invalid; it did not run.
  MalformedRequest = 'malformed_request',
  BodyTooLarge = 'body_too_large',
  HeaderTooLarge = 'header_too_large',
  RequestTimeout = 'request_timeout',
  NotFound = 'not_found',
  MethodNotAllowed = 'method_not_allowed',
  Unauthenticated = 'unauthenticated',
  ServiceNotAllowed = 'service_not_allowed',
  UnknownModel = 'unknown_model',
  RequestIdRequired = 'request_id_required',
  RequestIdInvalid = 'request_id_invalid',
  RequestIdMismatch = 'request_id_mismatch',
  DeadlineTooLong = 'deadline_too_long',
  // Capacity or permission is missing at present, or the caller cancelled; it did not run.
  RateLimited = 'rate_limited',
  TokensLimited = 'tokens_limited',
  InFlightLimited = 'in_flight_limited',
  TierClosed = 'tier_closed',
  QueueFull = 'queue_full',
  DeadlineUnreachable = 'deadline_unreachable',
  DeadlineExpired = 'deadline_expired',
  TooManyConnections = 'too_many_connections',
  EntryHostStopping = 'entry_host_stopping',
  EntryHostOverloaded = 'entry_host_overloaded',
  EntryHostCutOff = 'entry_host_cut_off',
  ConfigurationMissing = 'configuration_missing',
  NoBackendServer = 'no_backend_server',
  ServiceClosed = 'service_closed',
  RegionUnavailable = 'region_unavailable',
  StreamVersionGone = 'stream_version_gone',
  StreamUnknown = 'stream_unknown',
  BackendServerRefused = 'backend_server_refused',
  DispatchFailed = 'dispatch_failed',
  RequestHeld = 'request_held',
  Cancelled = 'cancelled',
  // The request ID has expired; the request's outcome may be unknown.
  RequestIdExpired = 'request_id_expired',
  // No reachable host can tell whether the request ran.
  OwnerUnreachable = 'owner_unreachable',
  OwnerGone = 'owner_gone',
  BackendServerLost = 'backend_server_lost',
  AnswerTimeout = 'answer_timeout',
  // The body was handed over, and the answer is unavailable, incomplete or no longer wanted.
  BackendServerFailed = 'backend_server_failed',
  AnswerCut = 'answer_cut',
  AnswerNoLongerKept = 'answer_no_longer_kept',
  CancelledAfterDispatch = 'cancelled_after_dispatch',
  // An internal fault of the system.
  Internal = 'internal',
}
