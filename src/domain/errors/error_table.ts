/**
 * The one table from error kind to answer.
 *
 * @module
 */
import { ErrorKind, RunOutcome } from './error_kind.js';

/** Log levels, by the names that the log library knows. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

/** How one error kind is answered. */
export interface ErrorAnswer {
  /** HTTP status code. */
  readonly status: number;
  /** OpenAI-compatible error type, so that client libraries raise their own classes. */
  readonly type: string;
  /** What the answer says about the run. */
  readonly run: RunOutcome;
  /**
   * Default advice when to come back, in milliseconds; 0 says not to repeat the
   * request as it stands. A measured value at the place of refusal goes before it.
   */
  readonly retryAfterMs: number;
  /** Level of the log line that the refusal writes. */
  readonly logLevel: LogLevel;
}

const INVALID = 'invalid_request_error';
const RATE = 'rate_limit_error';
const SERVER = 'server_error';

/** The table from kind to answer; a test walks all of it. */
export const ERROR_TABLE: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  [ErrorKind.MalformedRequest]: answer(400, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.BodyTooLarge]: answer(413, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.HeaderTooLarge]: answer(431, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.RequestTimeout]: answer(408, INVALID, RunOutcome.NotRun, 1000, LogLevel.Info),
  [ErrorKind.NotFound]: answer(404, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.MethodNotAllowed]: answer(405, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.Unauthenticated]: answer(
    401,
    'authentication_error',
    RunOutcome.NotRun,
    0,
    LogLevel.Info,
  ),
  [ErrorKind.ServiceNotAllowed]: answer(
    403,
    'permission_error',
    RunOutcome.NotRun,
    0,
    LogLevel.Info,
  ),
  [ErrorKind.UnknownModel]: answer(404, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.RequestIdRequired]: answer(428, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.RequestIdInvalid]: answer(400, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.RequestIdMismatch]: answer(409, INVALID, RunOutcome.NotRun, 0, LogLevel.Warn),
  [ErrorKind.DeadlineTooLong]: answer(400, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.RateLimited]: answer(429, RATE, RunOutcome.NotRun, 1000, LogLevel.Info),
  [ErrorKind.TokensLimited]: answer(429, RATE, RunOutcome.NotRun, 1000, LogLevel.Info),
  [ErrorKind.InFlightLimited]: answer(429, RATE, RunOutcome.NotRun, 1000, LogLevel.Info),
  [ErrorKind.TierClosed]: answer(503, SERVER, RunOutcome.NotRun, 2000, LogLevel.Info),
  [ErrorKind.QueueFull]: answer(503, SERVER, RunOutcome.NotRun, 2000, LogLevel.Info),
  [ErrorKind.DeadlineUnreachable]: answer(503, SERVER, RunOutcome.NotRun, 2000, LogLevel.Info),
  [ErrorKind.DeadlineExpired]: answer(504, SERVER, RunOutcome.NotRun, 1000, LogLevel.Info),
  [ErrorKind.TooManyConnections]: answer(503, SERVER, RunOutcome.NotRun, 1000, LogLevel.Warn),
  [ErrorKind.EntryHostStopping]: answer(503, SERVER, RunOutcome.NotRun, 100, LogLevel.Info),
  [ErrorKind.EntryHostCutOff]: answer(503, SERVER, RunOutcome.NotRun, 1000, LogLevel.Warn),
  [ErrorKind.ConfigurationMissing]: answer(503, SERVER, RunOutcome.NotRun, 1000, LogLevel.Error),
  [ErrorKind.NoBackendServer]: answer(503, SERVER, RunOutcome.NotRun, 1000, LogLevel.Warn),
  [ErrorKind.ServiceClosed]: answer(503, SERVER, RunOutcome.NotRun, 2000, LogLevel.Warn),
  [ErrorKind.RegionUnavailable]: answer(503, SERVER, RunOutcome.NotRun, 2000, LogLevel.Warn),
  [ErrorKind.BackendServerRefused]: answer(503, SERVER, RunOutcome.NotRun, 1000, LogLevel.Warn),
  [ErrorKind.RequestHeld]: answer(503, SERVER, RunOutcome.NotRun, 600_000, LogLevel.Warn),
  [ErrorKind.Cancelled]: answer(499, INVALID, RunOutcome.NotRun, 0, LogLevel.Info),
  [ErrorKind.RequestIdExpired]: answer(410, INVALID, RunOutcome.MayHaveRun, 0, LogLevel.Info),
  [ErrorKind.OwnerUnreachable]: answer(502, SERVER, RunOutcome.MayHaveRun, 1000, LogLevel.Warn),
  [ErrorKind.OwnerGone]: answer(502, SERVER, RunOutcome.MayHaveRun, 0, LogLevel.Warn),
  [ErrorKind.BackendServerLost]: answer(502, SERVER, RunOutcome.MayHaveRun, 0, LogLevel.Warn),
  [ErrorKind.AnswerTimeout]: answer(504, SERVER, RunOutcome.MayHaveRun, 0, LogLevel.Info),
  [ErrorKind.BackendServerFailed]: answer(502, SERVER, RunOutcome.Ran, 0, LogLevel.Warn),
  [ErrorKind.AnswerCut]: answer(502, SERVER, RunOutcome.Ran, 0, LogLevel.Warn),
  [ErrorKind.AnswerNoLongerKept]: answer(410, INVALID, RunOutcome.Ran, 0, LogLevel.Info),
  [ErrorKind.CancelledAfterDispatch]: answer(499, INVALID, RunOutcome.MayHaveRun, 0, LogLevel.Info),
  [ErrorKind.Internal]: answer(500, SERVER, RunOutcome.MayHaveRun, 0, LogLevel.Error),
};

function answer(
  status: number,
  type: string,
  run: RunOutcome,
  retryAfterMs: number,
  logLevel: LogLevel,
): ErrorAnswer {
  return { status, type, run, retryAfterMs, logLevel };
}
