/**
 * Relays a backend server's answer to the caller, either buffered or as a stream of events.
 *
 * @module
 */
import { ByteChunks } from '../../domain/collections/mod.js';
import { ByteBudget, HeldBytes } from '../../domain/memory/mod.js';
import { EventSplitter } from '../../domain/streams/mod.js';
import type { AnswerEndFacts } from '../../domain/streams/mod.js';
import type { BackendHead, DirectReply } from '../../ports/mod.js';

/**
 * Largest plain answer, in bytes, that is buffered until it is complete. A longer answer is
 * relayed as it arrives.
 */
const MAX_BUFFERED_BYTES = 262_144;

/** Relays one answer to the caller. */
export abstract class AnswerRelay {
  /** Whether any part of the answer was sent to the caller. */
  abstract readonly hasBegun: boolean;

  /** ID of the last event that was sent to the caller. */
  abstract readonly lastEventId: string | undefined;

  /** @param bytes - the next bytes that the backend server sent */
  abstract write(bytes: Buffer): void;

  /** Whether the bytes so far end inside an event of a stream. */
  abstract readonly isInsideEvent: boolean;

  /** Whether the backend server that answers now has sent no byte of a body. */
  abstract readonly isEmpty: boolean;

  /** @param isFramed - whether the server marked the end. @returns how the answer ended */
  buildEndFacts(isFramed: boolean): AnswerEndFacts {
    const { isInsideEvent, isEmpty } = this;
    return { isFramed, isInsideEvent, isEmpty, isMarkPromised: false };
  }

  /** Ends the caller's answer, with a mark if its server gave one or it was relayed as it arrived. */
  abstract end(): void;

  /** Called once its attempt has ended, and it gets no further bytes. */
  release(): void {}
}

/**
 * Builds the head of an answer that is relayed as it arrives. If it ended with the connection, it would
 * look complete when this process is killed: the system closes the connections of a process that ends.
 */
function buildMarkedHead(head: BackendHead): BackendHead {
  return { ...head, isFramed: true };
}

/** Budget of relays that are given none. */
const UNBOUNDED = new ByteBudget(Infinity);

/** Dependencies of a {@link BufferedRelay}. */
export interface BufferedRelayOptions {
  /** Status and headers of the answer. */
  readonly head: BackendHead;
  readonly reply: DirectReply;
  /** Called once, immediately before the first part is sent to the caller. */
  readonly onBegin: () => void;
  /** Bounds what all relays keep; an answer for which there is no room is relayed as it arrives. */
  readonly budget?: ByteBudget | undefined;
}

/**
 * Buffers a plain answer until it is complete, so that another backend server can still replace
 * an answer that breaks off.
 */
export class BufferedRelay extends AnswerRelay {
  readonly #head: BackendHead;

  readonly #reply: DirectReply;

  readonly #chunks = new ByteChunks();

  #isEmpty = true;

  #hasBegun = false;

  readonly lastEventId = undefined;

  readonly isInsideEvent = false;

  readonly #onBegin: () => void;

  readonly #held: HeldBytes;

  /** @param options - head of the answer, and where it goes */
  constructor({ head, reply, onBegin, budget = UNBOUNDED }: BufferedRelayOptions) {
    super();
    this.#head = head;
    this.#reply = reply;
    this.#onBegin = onBegin;
    this.#held = new HeldBytes(budget);
  }

  override get hasBegun(): boolean {
    return this.#hasBegun;
  }

  override get isEmpty(): boolean {
    return this.#isEmpty;
  }

  override write(bytes: Buffer): void {
    this.#isEmpty &&= bytes.length === 0;
    this.#chunks.append(bytes);
    const { length } = this.#chunks;
    if (!this.#hasBegun && length <= MAX_BUFFERED_BYTES && this.#held.trySet(length)) return;
    this.release();
    if (!this.#hasBegun) {
      this.#onBegin();
      this.#reply.writeHead(buildMarkedHead(this.#head));
    }
    this.#hasBegun = true;
    this.#reply.write(this.#chunks.take());
  }

  override end(): void {
    if (this.#hasBegun) this.#reply.end();
    else {
      this.#onBegin();
      this.#reply.sendAnswer(this.#head, this.#chunks.take());
    }
    this.#hasBegun = true;
  }

  override release(): void {
    this.#held.trySet(0);
  }
}

/** Dependencies of a {@link StreamRelay}. */
export interface StreamRelayOptions {
  /** Status and headers of the first backend server's answer. */
  readonly head: BackendHead;
  readonly reply: DirectReply;
  /** @returns monotonic time in milliseconds */
  readonly nowMs: () => number;
  /** Called once, immediately before the first event is sent to the caller. */
  readonly onBegin: () => void;
  /** Bounds what all relays keep; an event for which there is no room ends the attempt. */
  readonly budget?: ByteBudget | undefined;
}

/**
 * Relays a stream of events. The head is sent together with the first complete event: until
 * then, another backend server can take over without the caller noticing. After that, a backend
 * server that takes over continues the same answer.
 */
export class StreamRelay extends AnswerRelay {
  readonly #head: BackendHead;

  readonly #reply: DirectReply;

  #splitter = new EventSplitter();

  readonly #held: HeldBytes;

  #hasBegun = false;

  #lastEventId: string | undefined;

  #isEmpty = true;

  #lastEventsAtMs = 0;

  #eventCount = 0;

  #longestPauseMs = 0;

  readonly #nowMs: () => number;

  readonly #onBegin: () => void;

  /** @param options - head of the first backend server's answer, and where the stream goes */
  constructor({ head, reply, nowMs, onBegin, budget = UNBOUNDED }: StreamRelayOptions) {
    super();
    this.#held = new HeldBytes(budget);
    this.#head = head;
    this.#reply = reply;
    this.#nowMs = nowMs;
    this.#onBegin = onBegin;
    this.#lastEventsAtMs = nowMs();
  }

  override get hasBegun(): boolean {
    return this.#hasBegun;
  }

  override get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  override get isEmpty(): boolean {
    return this.#isEmpty;
  }

  override get isInsideEvent(): boolean {
    return this.#splitter.isInsideEvent;
  }

  /** Number of complete events received from all backend servers. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Longest pause between events, in milliseconds. The wait for the first event doesn't count. */
  get longestPauseMs(): number {
    return this.#longestPauseMs;
  }

  /** When the last events or the head arrived, on the monotonic clock in milliseconds. */
  get lastEventsAtMs(): number {
    return this.#lastEventsAtMs;
  }

  /**
   * Prepares for a new backend server's stream. Drops the incomplete event of a broken stream:
   * the next server sends that event in full.
   */
  restart(): void {
    this.release();
    this.#splitter = new EventSplitter();
    this.#isEmpty = true;
    this.#lastEventsAtMs = this.#nowMs();
  }

  override write(bytes: Buffer): void {
    this.#isEmpty &&= bytes.length === 0;
    const { bytes: completeEvents, count, lastId } = this.#splitter.split(bytes);
    if (!this.#held.trySet(this.#splitter.pendingLength))
      throw new RangeError('Cannot keep an event: the kept answers of all calls exceed the limit');
    if (completeEvents.length === 0) return;
    const nowMs = this.#nowMs();
    if (this.#hasBegun) {
      this.#longestPauseMs = Math.max(this.#longestPauseMs, nowMs - this.#lastEventsAtMs);
    }
    this.#lastEventsAtMs = nowMs;
    this.#eventCount += count;
    if (!this.#hasBegun) {
      this.#onBegin();
      this.#reply.writeHead(buildMarkedHead(this.#head));
    }
    this.#hasBegun = true;
    this.#lastEventId = lastId ?? this.#lastEventId;
    this.#reply.write(completeEvents);
  }

  override end(): void {
    if (!this.#hasBegun) this.#reply.writeHead(this.#head);
    this.#hasBegun = true;
    this.#reply.write(this.#splitter.pendingBytes);
    this.#reply.end();
  }

  override release(): void {
    this.#held.trySet(0);
  }
}
