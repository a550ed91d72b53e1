/**
 * Writes log lines to a stream whose reader may be slow or may have disconnected.
 *
 * @module
 */
import type { Writable } from 'node:stream';
import { LogLevel } from '../../domain/errors/mod.js';
import { formatLogLine } from './log_line.js';

const DEFAULT_MAX_BUFFERED_BYTES = 4_194_304;

/** Receives formatted log lines, such as a file or standard output. */
export interface LogDestination {
  /** @param line - one complete line, including its line break */
  write(line: string): void;
}

/**
 * Buffers log lines up to a limit and drops further lines while the reader is too slow.
 * Waiting for the reader would block the process: heartbeats would stop and peers would
 * suspect a healthy entry host. Buffering without a limit would exhaust the memory. Once the
 * buffer has space again, one line reports how many lines were dropped.
 */
export class BoundedOutput implements LogDestination {
  readonly #stream: Writable;

  readonly #maxBufferedBytes: number;

  #droppedCount = 0;

  /**
   * @param stream - the stream that lines are written to; its writes must not block
   * @param maxBufferedBytes - maximum number of bytes buffered for the reader; 4 MiB by default
   */
  constructor(stream: Writable, maxBufferedBytes = DEFAULT_MAX_BUFFERED_BYTES) {
    this.#stream = stream;
    this.#maxBufferedBytes = maxBufferedBytes;
    // When the reader has disconnected (EPIPE), only log lines are lost. Without a handler the
    // error event would end the process.
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
    if (this.#droppedCount > 0) this.#writeDroppedCount();
    this.#stream.write(line);
  }

  #writeDroppedCount(): void {
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
