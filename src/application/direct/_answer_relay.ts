/**
 * Passes a backend server's answer on to the caller.
 *
 * @module
 */
import { EventSplitter } from '../../domain/streams/mod.js';
import type { BackendHead, DirectReply } from '../../ports/mod.js';

/** Most bytes of a plain answer that are kept back until it is whole; longer ones are passed on as they come. */
const MAX_BUFFERED_BYTES = 262_144;

/** How an answer is passed on. */
export abstract class AnswerRelay {
  /** Whether the caller has been given any of it. */
  abstract readonly hasBegun: boolean;

  /** ID of the last event that the caller has been given. */
  abstract readonly lastEventId: string | undefined;

  /** @param bytes - next bytes from the backend server */
  abstract write(bytes: Buffer): void;

  /** The answer is whole. */
  abstract end(): void;
}

/** A plain answer, kept back until it is whole, so that a broken one can still be replaced. */
export class BufferedRelay extends AnswerRelay {
  readonly #head: BackendHead;

  readonly #reply: DirectReply;

  readonly #chunks: Buffer[] = [];

  #length = 0;

  #hasBegun = false;

  readonly lastEventId = undefined;

  /** @param head - the answer's head. @param reply - the way back */
  constructor(head: BackendHead, reply: DirectReply) {
    super();
    this.#head = head;
    this.#reply = reply;
  }

  override get hasBegun(): boolean {
    return this.#hasBegun;
  }

  override write(bytes: Buffer): void {
    this.#length += bytes.length;
    this.#chunks.push(bytes);
    if (this.#length <= MAX_BUFFERED_BYTES) return;
    if (!this.#hasBegun) this.#reply.writeHead(this.#head);
    this.#hasBegun = true;
    this.#chunks.splice(0).forEach((chunk) => this.#reply.write(chunk));
  }

  override end(): void {
    if (this.#hasBegun) this.#reply.end();
    else this.#reply.sendWhole(this.#head, Buffer.concat(this.#chunks));
    this.#hasBegun = true;
  }
}

/**
 * A stream of events. The head leaves with the first whole event: until then
 * another backend server can take over without the caller noticing. A backend
 * server that takes over later adds to the same answer.
 */
export class StreamRelay extends AnswerRelay {
  readonly #head: BackendHead;

  readonly #reply: DirectReply;

  #splitter = new EventSplitter();

  #hasBegun = false;

  #lastEventId: string | undefined;

  #lastEventsAtMs = 0;

  #eventCount = 0;

  #longestPauseMs = 0;

  readonly #nowMs: () => number;

  /**
   * @param head - head of the first backend server's answer
   * @param reply - the way back
   * @param nowMs - gives monotonic time
   */
  constructor(head: BackendHead, reply: DirectReply, nowMs: () => number) {
    super();
    this.#head = head;
    this.#reply = reply;
    this.#nowMs = nowMs;
    this.#lastEventsAtMs = nowMs();
  }

  override get hasBegun(): boolean {
    return this.#hasBegun;
  }

  override get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Events that have come. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Longest time without an event since the first one, in milliseconds. */
  get longestPauseMs(): number {
    return this.#longestPauseMs;
  }

  /** When the last events came, on the monotonic clock. */
  get lastEventsAtMs(): number {
    return this.#lastEventsAtMs;
  }

  /** Half an event of a broken stream is forgotten: it comes whole from elsewhere. */
  restart(): void {
    this.#splitter = new EventSplitter();
    this.#lastEventsAtMs = this.#nowMs();
  }

  override write(bytes: Buffer): void {
    const { bytes: wholeEvents, count, lastId } = this.#splitter.split(bytes);
    if (wholeEvents.length === 0) return;
    const nowMs = this.#nowMs();
    if (this.#hasBegun) {
      this.#longestPauseMs = Math.max(this.#longestPauseMs, nowMs - this.#lastEventsAtMs);
    }
    this.#lastEventsAtMs = nowMs;
    this.#eventCount += count;
    if (!this.#hasBegun) this.#reply.writeHead(this.#head);
    this.#hasBegun = true;
    this.#lastEventId = lastId ?? this.#lastEventId;
    this.#reply.write(wholeEvents);
  }

  override end(): void {
    if (!this.#hasBegun) this.#reply.writeHead(this.#head);
    this.#hasBegun = true;
    this.#reply.write(this.#splitter.rest);
    this.#reply.end();
  }
}
