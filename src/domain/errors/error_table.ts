/**
 * Maps each error kind to the HTTP answer that the caller receives and to its log level.
 *
 * @module
 */
import { ErrorKind, RunOutcome } from './error_kind.js';

/** Log levels, named as in the log library. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

/** Answer to one error kind. */
export interface ErrorAnswer {
  /** HTTP status code. */
  readonly status: number;
  /** OpenAI-compatible error type, from which client libraries choose their error class. */
  readonly type: string;
  /** Whether the request ran, as the answer states it. */
  readonly run: RunOutcome;
  /**
   * Default time after which to retry, in milliseconds; 0 advises against repeating the
   * unchanged request. A value that the refusing code has measured takes precedence.
   */
  readonly retryAfterMs: number;
  /** Level of the log line about the refusal. */
  readonly logLevel: LogLevel;
}

const INVALID = 'invalid_request_error';
const RATE = 'rate_limit_error';
const SERVER = 'server_error';

/** Answer to each error kind. */
export const ERROR_TABLE: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  [ErrorKind.MalformedRequest]: define(400, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.BodyTooLarge]: define(413, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.HeaderTooLarge]: define(431, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.RequestTimeout]: define(408, INVALID, RunOutcome.NotRun, 1000, LogLevel.Info),
  [ErrorKind.NotFound]: define(404, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.MethodNotAllowed]: define(405, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.Unauthenticated]: define(
    401,
    'authentication_error',
    RunOutcome.NotRun,
    0,
    LogLevel.Info,
  ),
  [ErrorKind.ServiceNotAllowed]: define(
    403,
    'permission_error',
    RunOutcome.NotRun,
    0,
    LogLevel.Info,
  ),
  [ErrorKind.UnknownModel]: define(404, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.RequestIdRequired]: define(428, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.RequestIdInvalid]: define(400, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.RequestIdMismatch]: define(409, INVALID, RunOutcome.NotRun, 0, LogLevel.Warn),
  [ErrorKind.DeadlineTooLong]: define(400, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.RateLimited]: define(429, RATE, RunOutcome.NotRun, 1000, LogLevel.Info),
  [ErrorKind.TokensLimited]: define(429, RATE, RunOutcome.NotRun, 1000, LogLevel.Info),
  [ErrorKind.InFlightLimited]: define(429, RATE, RunOutcome.NotRun, 1000, LogLevel.Info),
  [ErrorKind.TierClosed]: define(503, SERVER, RunOutcome.NotRun, 2000, LogLevel.Info),
  [ErrorKind.QueueFull]: define(503, SERVER, RunOutcome.NotRun, 2000, LogLevel.Info),
  [ErrorKind.DeadlineUnreachable]: define(503, SERVER, RunOutcome.NotRun, 2000, LogLevel.Info),
  [ErrorKind.DeadlineExpired]: define(504, SERVER, RunOutcome.NotRun, 1000, LogLevel.Info),
  [ErrorKind.TooManyConnections]: define(503, SERVER, RunOutcome.NotRun, 1000, LogLevel.Warn),
  [ErrorKind.EntryHostStopping]: define(503, SERVER, RunOutcome.NotRun, 100, LogLevel.Info),
  [ErrorKind.EntryHostOverloaded]: define(503, SERVER, RunOutcome.NotRun, 300, LogLevel.Info),
  [ErrorKind.EntryHostCutOff]: define(503, SERVER, RunOutcome.NotRun, 1000, LogLevel.Warn),
  [ErrorKind.ConfigurationMissing]: define(503, SERVER, RunOutcome.NotRun, 1000, LogLevel.Error),
  [ErrorKind.NoBackendServer]: define(503, SERVER, RunOutcome.NotRun, 1000, LogLevel.Warn),
  [ErrorKind.ServiceClosed]: define(503, SERVER, RunOutcome.NotRun, 2000, LogLevel.Warn),
  [ErrorKind.RegionUnavailable]: define(503, SERVER, RunOutcome.NotRun, 2000, LogLevel.Warn),
  [ErrorKind.StreamVersionGone]: define(503, SERVER, RunOutcome.NotRun, 1000, LogLevel.Info),
  [ErrorKind.StreamUnknown]: define(503, SERVER, RunOutcome.NotRun, 50, LogLevel.Info),
  [ErrorKind.BackendServerRefused]: define(503, SERVER, RunOutcome.NotRun, 1000, LogLevel.Warn),
  [ErrorKind.DispatchFailed]: define(503, SERVER, RunOutcome.NotRun, 1000, LogLevel.Error),
  [ErrorKind.RequestHeld]: define(503, SERVER, RunOutcome.NotRun, 600_000, LogLevel.Warn),
  [ErrorKind.Cancelled]: define(499, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.RequestIdExpired]: define(410, INVALID, RunOutcome.MayHaveRun, 0, LogLevel.Info),
  [ErrorKind.OwnerUnreachable]: define(502, SERVER, RunOutcome.MayHaveRun, 1000, LogLevel.Warn),
  [ErrorKind.OwnerGone]: define(502, SERVER, RunOutcome.MayHaveRun, 0, LogLevel.Warn),
  [ErrorKind.BackendServerLost]: define(502, SERVER, RunOutcome.MayHaveRun, 0, LogLevel.Warn),
  [ErrorKind.AnswerTimeout]: define(504, SERVER, RunOutcome.MayHaveRun, 0, LogLevel.Info),
  [ErrorKind.BackendServerFailed]: define(502, SERVER, RunOutcome.Ran, 0, LogLevel.Warn),
  [ErrorKind.AnswerCut]: define(502, SERVER, RunOutcome.Ran, 0, LogLevel.Warn),
  [ErrorKind.AnswerNoLongerKept]: define(410, INVALID, RunOutcome.Ran, 0, LogLevel.Info),
  [ErrorKind.CancelledAfterDispatch]: define(499, INVALID, RunOutcome.MayHaveRun, 0, LogLevel.Info),
  [ErrorKind.Internal]: define(500, SERVER, RunOutcome.MayHaveRun, 0, LogLevel.Error),
};

function define(
  status: number,
  type: string,
  run: RunOutcome,
  retryAfterMs: number,
  logLevel: LogLevel,
): ErrorAnswer {
  return { status, type, run, retryAfterMs, logLevel };
}
