/**
 * Provides the event log, which writes one line of `key=value` pairs per event through pino.
 *
 * ```ts
 * const log = new PinoEventLog({ level: LogLevel.Info });
 * log.write(LogLevel.Info, 'listener_started', { port: 8080 });
 * // time=2026-01-31T09:00:00.000Z level=info event=listener_started port=8080
 * ```
 *
 * @module
 */
export { PinoEventLog } from './pino_event_log.js';
export type { PinoEventLogOptions } from './pino_event_log.js';
export { BoundedOutput } from './bounded_output.js';
export type { LogDestination } from './bounded_output.js';
export { formatLogLine, formatLogValue } from './log_line.js';
export type { LogRecord } from './log_line.js';
export { RateLimitedEventLog } from './rate_limited_event_log.js';
export type { RateLimitedEventLogOptions } from './rate_limited_event_log.js';
