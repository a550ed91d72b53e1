/**
 * Cuts a stream of server-sent events at the ends of its events.
 *
 * @module
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Most bytes of one event; a longer one is no event of an engine. */
const MAX_EVENT_BYTES = 1_048_576;

const ID_LINE = /(?:^|\n)id: ?([^\r\n]*)/;

/** Whole events that a chunk has completed. */
export interface WholeEvents {
  /** The events' bytes as they came; empty when none is whole. */
  readonly bytes: Buffer;
  /** How many they are. */
  readonly count: number;
  /** ID of the last of them that has one. */
  readonly lastId: string | undefined;
}

const NOTHING: WholeEvents = { bytes: Buffer.alloc(0), count: 0, lastId: undefined };

/**
 * Holds back an event until it is whole. A stream that breaks inside an event can
 * then go on elsewhere after the last whole one, without half an event before it.
 */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** What has come of the event that isn't whole yet. */
  get rest(): Buffer {
    return this.#rest;
  }

  /**
   * Takes the next bytes.
   *
   * @param chunk - bytes as they came
   * @returns the events that are whole now
   * @throws RangeError when an event exceeds every bound
   */
  split(chunk: Buffer): WholeEvents {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const end = findLastEnd(bytes);
    if (bytes.length - end > MAX_EVENT_BYTES) {
      throw new RangeError(`Cannot split events: one has more than ${MAX_EVENT_BYTES} bytes`);
    }
    this.#rest = bytes.subarray(end);
    if (end === 0) return NOTHING;
    const whole = bytes.subarray(0, end);
    return { bytes: whole, count: countEnds(whole), lastId: findLastId(whole) };
  }
}

/** Index behind the last empty line; 0 when there is none. */
function findLastEnd(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] === LINE_FEED) {
      const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
      if (bytes[before] === LINE_FEED) return index + 1;
    }
  }
  return 0;
}

/** Counts the empty lines that end events. */
function countEnds(events: Buffer): number {
  let count = 0;
  let isLineEmpty = false;
  for (let index = 0; index < events.length; index += 1) {
    const byte = events[index];
    if (byte === LINE_FEED && isLineEmpty) count += 1;
    if (byte !== CARRIAGE_RETURN) isLineEmpty = byte === LINE_FEED;
  }
  return count;
}

function findLastId(events: Buffer): string | undefined {
  const text = events.toString('latin1');
  const start = Math.max(text.lastIndexOf('\nid:'), text.startsWith('id:') ? 0 : -1);
  return start < 0 ? undefined : ID_LINE.exec(text.slice(start))?.[1]?.trim();
}
