/**
 * Structured logging, as the application sees it.
 *
 * @module
 */
import type { LogLevel } from '../domain/errors/mod.js';

/** Values that a log line may carry. Prompts and keys never go in. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one key=value line an event. */
export abstract class EventLog {
  /**
   * @param level - the line's level
   * @param event - the event's name in snake_case
   * @param fields - the line's other fields; `requestId` and `account` where there are any
   */
  abstract write(level: LogLevel, event: string, fields?: LogFields): void;
}
