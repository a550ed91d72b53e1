/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * @module
 */

import { ByteChunks } from '../collections/mod.js';

/** End of a line and the empty line after it, which ends an event. */
const EVENT_TERMINATORS: readonly string[] = ['\n\n', '\n\r\n', '\r\r'];

/** Bytes of a terminator that may stand before a chunk. */
const MAX_SEAM_BYTES = 2;

/** Maximum bytes of one event; engines send no longer ones. */
const MAX_EVENT_BYTES = 1_048_576;

/** Empty lines and comments, which belong to no event. */
const NO_EVENT_LINES = /^(?:\r|\n|:[^\r\n]*[\r\n])*$/;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Events that a chunk has completed. */
export interface CompleteEvents {
  /** Unchanged bytes of the complete events; empty if there is none. */
  readonly bytes: Buffer;
  /** Number of complete events. */
  readonly count: number;
  /** ID of the last complete event that has one; undefined if none has. */
  readonly lastId: string | undefined;
}

const NO_EVENTS: CompleteEvents = { bytes: Buffer.alloc(0), count: 0, lastId: undefined };

/**
 * Buffers an event until it is complete. If a stream breaks inside an event, another backend
 * server can then continue it after the last complete event, and the caller never receives a
 * partial one.
 */
export class EventSplitter {
  readonly #maxEventBytes: number;

  /** Bytes of the incomplete event, without any terminator. */
  readonly #rest = new ByteChunks();

  /** The last bytes of the incomplete event. */
  #seam: Buffer = Buffer.alloc(0);

  /** @param maxEventBytes - maximum bytes of one event */
  constructor(maxEventBytes = MAX_EVENT_BYTES) {
    this.#maxEventBytes = maxEventBytes;
  }

  /** Bytes received so far of the event that is incomplete. */
  get pendingBytes(): Buffer {
    return this.#rest.join();
  }

  /** Number of those bytes. */
  get pendingLength(): number {
    return this.#rest.length;
  }

  /** Whether the bytes so far end inside an event. */
  get isInsideEvent(): boolean {
    return !NO_EVENT_LINES.test(this.pendingBytes.toString('latin1'));
  }

  /**
   * Appends the next chunk of the stream.
   *
   * @param chunk - bytes as received
   * @returns the events that the chunk has completed
   * @throws RangeError if an incomplete event exceeds the maximum size
   */
  split(chunk: Buffer): CompleteEvents {
    const seamBytes = this.#seam.length;
    const searched = seamBytes === 0 ? chunk : Buffer.concat([this.#seam, chunk]);
    const foundEnd = findLastEventEnd(searched);
    this.#rest.append(chunk);
    this.#seam = searched.subarray(Math.max(foundEnd, searched.length - MAX_SEAM_BYTES));
    const restLength = foundEnd === 0 ? this.#rest.length : searched.length - foundEnd;
    if (restLength > this.#maxEventBytes) {
      throw new RangeError(
        `Cannot split events: an event has more than ${this.#maxEventBytes} bytes`,
      );
    }
    if (foundEnd === 0) return NO_EVENTS;
    const bytes = this.#rest.take();
    const end = bytes.length - restLength;
    if (restLength > 0) this.#rest.append(bytes.subarray(end));
    const complete = bytes.subarray(0, end);
    const text = complete.toString('latin1');
    const hasReturns = text.includes('\r');
    return {
      bytes: complete,
      count: countEventEnds(text, hasReturns),
      lastId: findLastId(text, hasReturns),
    };
  }
}

/** Returns the index after the last complete event; 0 if there is none. */
function findLastEventEnd(bytes: Buffer): number {
  if (hasEventEnd(bytes)) return bytes.length;
  return Math.max(
    0,
    ...EVENT_TERMINATORS.map((end) => {
      const index = bytes.lastIndexOf(end);
      return index < 0 ? 0 : index + end.length;
    }),
  );
}

/** Whether the bytes end with an event, as they mostly do. */
function hasEventEnd(bytes: Buffer): boolean {
  const last = bytes.at(-1);
  const previous = bytes.at(-2);
  if (last === LINE_FEED)
    return previous === LINE_FEED || (previous === CARRIAGE_RETURN && bytes.at(-3) === LINE_FEED);
  return last === CARRIAGE_RETURN && previous === CARRIAGE_RETURN;
}

/** Counts the empty lines that end events. */
function countEventEnds(text: string, hasReturns: boolean): number {
  let count = 0;
  for (let index = text.indexOf('\n'); index >= 0; index = text.indexOf('\n', index + 1)) {
    const next = text[index + 1] === '\r' ? index + 2 : index + 1;
    if (text[next] === '\n') count += 1;
  }
  if (!hasReturns) return count;
  for (let index = text.indexOf('\r\r'); index >= 0; index = text.indexOf('\r\r', index + 2)) {
    count += 1;
  }
  return count;
}

function findLastId(text: string, hasReturns: boolean): string | undefined {
  const start = Math.max(
    text.lastIndexOf('\nid:'),
    hasReturns ? text.lastIndexOf('\rid:') : -1,
    text.startsWith('id:') ? 0 : -1,
  );
  if (start < 0) return undefined;
  const valueStart = text.indexOf(':', start) + 1;
  const line = text.slice(valueStart, findLineEnd(text, valueStart, '\n'));
  return line.slice(0, hasReturns ? findLineEnd(line, 0, '\r') : undefined).trim();
}

function findLineEnd(text: string, from: number, end: string): number {
  const index = text.indexOf(end, from);
  return index < 0 ? text.length : index;
}
