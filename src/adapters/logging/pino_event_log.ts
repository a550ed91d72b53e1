/**
 * The log on pino.
 *
 * @module
 */
import { pino, symbols } from 'pino';
import type { DestinationStream, Logger } from 'pino';
import { LogLevel } from '../../domain/errors/mod.js';
import { EventLog } from '../../ports/mod.js';
import type { LogFields } from '../../ports/mod.js';
import { BoundedOutput } from './bounded_output.js';
import type { LogDestination } from './bounded_output.js';
import { formatLogLine } from './log_line.js';

/** Options of {@link PinoEventLog}. */
export interface PinoEventLogOptions {
  /** Lowest level that is written. Default: info. */
  readonly level?: LogLevel;
  /** Where lines go. Default: standard output, through a {@link BoundedOutput}. */
  readonly destination?: LogDestination;
}

/** What pino notes on a destination that asks for it, before each write. */
interface PinoMetadata {
  lastObj: { readonly fields: LogFields };
  lastMsg: string;
  lastLevel: number;
}

/** Formats what pino hands over and passes the line on. */
class KeyValueStream implements DestinationStream {
  readonly [symbols.needsMetadataGsym] = true;

  readonly #destination: LogDestination;

  constructor(destination: LogDestination) {
    this.#destination = destination;
  }

  write(): void {
    const { lastObj, lastMsg, lastLevel } = this as unknown as PinoMetadata;
    const line = formatLogLine({
      time: new Date().toISOString(),
      level: pino.levels.labels[lastLevel] ?? String(lastLevel),
      event: lastMsg,
      fields: lastObj.fields,
    });
    this.#destination.write(`${line}\n`);
  }
}

/** Writes one line of key=value pairs an event. */
export class PinoEventLog extends EventLog {
  readonly #logger: Logger;

  /** @param options - level and destination */
  constructor(options: PinoEventLogOptions = {}) {
    super();
    const stream = new KeyValueStream(options.destination ?? new BoundedOutput(process.stdout));
    this.#logger = pino({ level: options.level ?? LogLevel.Info, base: null }, stream);
  }

  override write(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.#logger[level]({ fields }, event);
  }
}
