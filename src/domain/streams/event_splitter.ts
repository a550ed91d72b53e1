/**
 * Cuts a stream of server-sent events at the ends of its events.
 *
 * @module
 */

/** How an empty line looks behind the line before it. */
const EVENT_TERMINATORS: readonly string[] = ['\n\n', '\n\r\n'];

/** Most bytes of one event; a longer one is no event of an engine. */
const MAX_EVENT_BYTES = 1_048_576;

const ID_LINE = /(?:^|\n)id: ?([^\r\n]*)/;

/** Whole events that a chunk has completed. */
export interface CompleteEvents {
  /** The events' bytes as they came; empty when none is whole. */
  readonly bytes: Buffer;
  /** How many they are. */
  readonly count: number;
  /** ID of the last of them that has one. */
  readonly lastId: string | undefined;
}

const NO_EVENTS: CompleteEvents = { bytes: Buffer.alloc(0), count: 0, lastId: undefined };

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
  split(chunk: Buffer): CompleteEvents {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const end = findLastEventEnd(bytes);
    if (bytes.length - end > MAX_EVENT_BYTES) {
      throw new RangeError(`Cannot split events: one has more than ${MAX_EVENT_BYTES} bytes`);
    }
    this.#rest = bytes.subarray(end);
    if (end === 0) return NO_EVENTS;
    const complete = bytes.subarray(0, end);
    const text = complete.toString('latin1');
    return { bytes: complete, count: countEventEnds(text), lastId: findLastId(text) };
  }
}

/** Index behind the last empty line; 0 when there is none. */
function findLastEventEnd(bytes: Buffer): number {
  return Math.max(
    0,
    ...EVENT_TERMINATORS.map((end) => {
      const index = bytes.lastIndexOf(end);
      return index < 0 ? 0 : index + end.length;
    }),
  );
}

/** Counts the empty lines that end events. */
function countEventEnds(text: string): number {
  let count = 0;
  for (let index = text.indexOf('\n'); index >= 0; index = text.indexOf('\n', index + 1)) {
    const next = text[index + 1] === '\r' ? index + 2 : index + 1;
    if (text[next] === '\n') count += 1;
  }
  return count;
}

function findLastId(text: string): string | undefined {
  const start = Math.max(text.lastIndexOf('\nid:'), text.startsWith('id:') ? 0 : -1);
  return start < 0 ? undefined : ID_LINE.exec(text.slice(start))?.[1]?.trim();
}
