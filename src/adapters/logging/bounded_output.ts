/**
 * Writes log lines to a stream whose reader may be slow or gone.
 *
 * @module
 */
import type { Writable } from 'node:stream';
import { LogLevel } from '../../domain/errors/mod.js';
import { formatLogLine } from './log_line.js';

const DEFAULT_MAX_BUFFERED_BYTES = 4_194_304;

/** Takes whole lines. */
export interface LogDestination {
  /** @param line - one line with its line break */
  write(line: string): void;
}

/**
 * Drops lines while the reader doesn't keep up. Waiting for it would block the
 * process: heartbeats would cease and peers would suspect a healthy entry host.
 * Buffering without a bound would use up its memory. When there is room again,
 * one line tells how many are missing.
 */
export class BoundedOutput implements LogDestination {
  readonly #stream: Writable;

  readonly #maxBufferedBytes: number;

  #droppedCount = 0;

  /**
   * @param stream - where lines go; it must not block
   * @param maxBufferedBytes - most bytes that wait for the reader; 4 MiB by default
   */
  constructor(stream: Writable, maxBufferedBytes = DEFAULT_MAX_BUFFERED_BYTES) {
    this.#stream = stream;
    this.#maxBufferedBytes = maxBufferedBytes;
    // A reader that has gone (EPIPE) must cost the log and not the process.
    stream.on('error', () => undefined);
  }

  write(line: string): void {
    if (
      !this.#stream.writable ||
      this.#stream.writableLength + line.length > this.#maxBufferedBytes
    ) {
      this.#droppedCount += 1;
      return;
    }
    if (this.#droppedCount > 0) this.#writeDropped();
    this.#stream.write(line);
  }

  #writeDropped(): void {
    const line = formatLogLine({
      time: new Date().toISOString(),
      level: LogLevel.Warn,
      event: 'log_lines_dropped',
      fields: { count: this.#droppedCount },
    });
    this.#droppedCount = 0;
    this.#stream.write(`${line}\n`);
  }
}
