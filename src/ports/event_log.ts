/**
 * Defines the structured log that the application writes to.
 *
 * @module
 */
import type { LogLevel } from '../domain/errors/mod.js';

/** Fields of a log line. They must never contain prompts or API keys. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one key=value line per event. */
export abstract class EventLog {
  /**
   * @param level - the line's level
   * @param event - the event's name in snake_case
   * @param fields - the line's other fields, among them `requestId` and `account` where known
   */
  abstract write(level: LogLevel, event: string, fields?: LogFields): void;
}
