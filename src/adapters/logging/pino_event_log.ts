/**
 * Implements the `EventLog` port with pino.
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
  /** Minimum level that is written. Default: info. */
  readonly level?: LogLevel;
  /** Destination of the lines. Default: standard output, through a {@link BoundedOutput}. */
  readonly destination?: LogDestination;
}

/** Properties that pino sets before each write on a destination that requests metadata. */
interface PinoMetadata {
  lastObj: { readonly fields: LogFields };
  lastMsg: string;
  lastLevel: number;
}

/** Formats each event from the metadata that pino sets and writes the line to the destination. */
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

/** Writes one line of `key=value` pairs per event. */
export class PinoEventLog extends EventLog {
  readonly #logger: Logger;

  /** @param options - minimum level and destination */
  constructor(options: PinoEventLogOptions = {}) {
    super();
    const stream = new KeyValueStream(options.destination ?? new BoundedOutput(process.stdout));
    this.#logger = pino({ level: options.level ?? LogLevel.Info, base: null }, stream);
  }

  override write(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.#logger[level]({ fields }, event);
  }
}
