/**
 * The log: one line of key=value pairs an event, by pino.
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
export type { LogLine } from './log_line.js';
export { LimitedEventLog } from './limited_event_log.js';
export type { LimitedEventLogOptions } from './limited_event_log.js';
