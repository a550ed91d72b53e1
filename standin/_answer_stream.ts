/**
 * The response body of a stand-in engine. It is produced to its end even when its client
 * disconnects, and a client can resume reading it at any byte offset.
 *
 * @module
 */
import type { ServerResponse } from 'node:http';
import type { FaultSwitch } from './_fault_switch.js';

/** State of an answer stream. */
export enum StreamState {
  Running = 'running',
  Complete = 'whole',
  /** The stream was cancelled, or a fault cut it off before its end. */
  Broken = 'broken',
}

/** One response body. All of its bytes are buffered so that it can be read from any offset. */
export class AnswerStream {
  #state = StreamState.Running;

  #length = 0;

  readonly #chunks: Buffer[] = [];

  readonly #readers = new Set<ServerResponse>();

  /**
   * @param id - ID under which clients resume and cancel the stream
   * @param contentType - `Content-Type` of the response
   * @param faults - faults that apply to the engine
   */
  constructor(
    readonly id: string,
    readonly contentType: string,
    readonly faults: FaultSwitch,
  ) {}

  /** Whether the stream is running, complete or broken. */
  get state(): StreamState {
    return this.#state;
  }

  /**
   * Appends bytes and sends them to all readers. Under the fault `die-midway` the stream
   * breaks at exactly the length that the fault names.
   *
   * @param bytes - bytes to append
   */
  write(bytes: Buffer): void {
    if (this.#state !== StreamState.Running) return;
    const remainingBytes = Math.max(0, this.faults.bytesBeforeCut - this.#length);
    const chunk = bytes.length >= remainingBytes ? bytes.subarray(0, remainingBytes) : bytes;
    this.#chunks.push(chunk);
    this.#length += chunk.length;
    if (chunk.length > 0) this.#readers.forEach((reader) => this.#send(reader, chunk));
    if (chunk.length < bytes.length || this.#length >= this.faults.bytesBeforeCut) this.abort();
  }

  /** Marks the stream as complete and ends the responses of all readers. */
  close(): void {
    if (this.#state !== StreamState.Running) return;
    this.#state = StreamState.Complete;
    this.#readers.forEach((reader) => this.#sendEnd(reader));
    this.#readers.clear();
  }

  /**
   * Breaks the stream. The connections of all readers are destroyed, so that no reader can
   * mistake the break for the end of the response.
   */
  abort(): void {
    if (this.#state !== StreamState.Running) return;
    this.#state = StreamState.Broken;
    const sockets = [...this.#readers].map((reader) => reader.socket);
    this.#readers.clear();
    // Deferred by one tick so that the bytes before the break are flushed first.
    setImmediate(() => sockets.forEach((socket) => socket?.destroy()));
  }

  /**
   * Sends the buffered bytes from an offset on, followed by new bytes as they are written.
   *
   * @param response - response to write to
   * @param offset - number of bytes that the reader already has
   */
  sendFrom(response: ServerResponse, offset: number): void {
    response.writeHead(200, { 'content-type': this.contentType, 'stream-id': this.id });
    response.flushHeaders();
    const buffered = Buffer.concat(this.#chunks).subarray(offset);
    if (buffered.length > 0) this.#send(response, buffered);
    if (this.#state === StreamState.Complete) this.#sendEnd(response);
    else {
      this.#readers.add(response);
      response.once('close', () => this.#readers.delete(response));
    }
  }

  #send(reader: ServerResponse, bytes: Buffer): void {
    if (!this.faults.isSilenced(reader.socket)) reader.write(bytes);
  }

  #sendEnd(reader: ServerResponse): void {
    if (!this.faults.isSilenced(reader.socket)) reader.end();
  }
}
