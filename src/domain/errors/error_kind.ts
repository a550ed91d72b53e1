/**
 * The closed list of error kinds.
 *
 * @module
 */

/** What a refusal says about the request's run. The values travel in answers. */
export enum RunOutcome {
  /** No backend server ever had the request's body. */
  NotRun = 'not_run',
  /** A backend server ran the request. */
  Ran = 'ran',
  /** The request may have run: nobody within reach can tell. */
  MayHaveRun = 'may_have_run',
}

/** Each reason for which the system refuses or fails a request. */
export enum ErrorKind {
  // The caller's fault; nothing ran.
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
  // No room or no right to it now; nothing ran.
  RateLimited = 'rate_limited',
  TokensLimited = 'tokens_limited',
  InFlightLimited = 'in_flight_limited',
  TierClosed = 'tier_closed',
  QueueFull = 'queue_full',
  DeadlineUnreachable = 'deadline_unreachable',
  DeadlineExpired = 'deadline_expired',
  TooManyConnections = 'too_many_connections',
  EntryHostStopping = 'entry_host_stopping',
  EntryHostCutOff = 'entry_host_cut_off',
  ConfigurationMissing = 'configuration_missing',
  NoBackendServer = 'no_backend_server',
  ServiceClosed = 'service_closed',
  RegionUnavailable = 'region_unavailable',
  BackendServerRefused = 'backend_server_refused',
  RequestHeld = 'request_held',
  Cancelled = 'cancelled',
  // The request ID has outlived its time; what became of it may be unknown.
  RequestIdExpired = 'request_id_expired',
  // Nobody within reach can tell whether it ran.
  OwnerUnreachable = 'owner_unreachable',
  OwnerGone = 'owner_gone',
  BackendServerLost = 'backend_server_lost',
  AnswerTimeout = 'answer_timeout',
  // The request ran, and its answer can't be given (again, or whole).
  BackendServerFailed = 'backend_server_failed',
  AnswerCut = 'answer_cut',
  AnswerNoLongerKept = 'answer_no_longer_kept',
  CancelledAfterDispatch = 'cancelled_after_dispatch',
  // A fault of the system's own.
  Internal = 'internal',
}
