/**
 * Events of one exchange on their way to the peer that requested it.
 *
 * @module
 */
import { BackendFailure, PeerFault, ProxyEventKind } from '../../ports/mod.js';
import type { Clock, ProxyEvent, Timer } from '../../ports/mod.js';
import { MAX_SUSPENSION_MS } from './_resume_times.js';

/** Maximum number of events that are kept for a peer that may have missed them. */
const MAX_KEPT_EVENTS = 512;

/** Maximum size of the events of one exchange that are kept, in bytes. */
const MAX_KEPT_BYTES = 262_144;

/** Maximum size of the events of all exchanges that are kept, in bytes. */
const MAX_TOTAL_BYTES = 8_388_608;

/** Memory that an event takes beside its body or header fields, in bytes. */
const EVENT_OVERHEAD_BYTES = 128;

/** Interval at which an event is sent again that the link did not take, in milliseconds. */
const RETRY_MS = 50;

/** Size of the events that are kept by all logs of a host. */
export interface KeptBytes {
  total: number;
}

/** Options of a {@link ReplyLog}. */
export interface ReplyLogOptions {
  readonly clock: Clock;
  /** Whether the peer may ask for events again; for another one, only what is unsent is kept. */
  readonly isKept: boolean;
  readonly keptBytes: KeptBytes;
  /** Sends an event to the peer. Returns false if there is no link, or it takes no more. */
  readonly send: (index: number, event: ProxyEvent) => boolean;
  /** Called once, when an event can't reach the peer any more. */
  readonly onLost: () => void;
}

/** Numbers events, and keeps the newest ones until the log is closed. */
export class ReplyLog {
  readonly #options: Omit<ReplyLogOptions, 'onLost'>;

  #onLost: (() => void) | undefined;

  readonly #events: ProxyEvent[] = [];

  /** Number of the first event that is kept. */
  #firstIndex = 0;

  /** Number of the event that is sent next. */
  #nextIndex = 0;

  #bytes = 0;

  /** Takes the place of all events that the peer still lacks. */
  #failure: ProxyEvent | undefined;

  #retryTimer: Timer | undefined;

  #stuckSinceMs: number | undefined;

  #isClosed = false;

  /** @param options - the way to the peer, and what is kept for it */
  constructor({ onLost, ...options }: ReplyLogOptions) {
    this.#options = options;
    this.#onLost = onLost;
  }

  /** Whether nothing more is sent. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** @param event - the next event of the exchange */
  append(event: ProxyEvent): void {
    if (this.#failure || this.#isClosed) return;
    this.#events.push(event);
    this.#addBytes(measureBytes(event));
    if (!this.#retryTimer) this.#flush();
    this.#trim();
  }

  /**
   * Sends events again.
   *
   * @param nextIndex - number of the first event that the peer lacks
   */
  resume(nextIndex: number): void {
    if (this.#isClosed) return;
    const endIndex = this.#firstIndex + this.#events.length;
    const isKnown = nextIndex >= this.#firstIndex && nextIndex <= endIndex;
    this.#nextIndex = nextIndex;
    this.#stuckSinceMs = undefined;
    if (this.#failure) this.#sendFailure();
    else if (isKnown) this.#flush();
    else this.#lose();
  }

  /**
   * Puts a failure in the place of all events that the peer still lacks.
   *
   * @param failure - the failure; a request that was not sent may go to another peer
   * @param reason - why
   */
  setFailure(failure: BackendFailure, reason: string): void {
    const isBusy = failure === BackendFailure.NotSent;
    this.#failure = { kind: ProxyEventKind.Failure, failure, reason, isBusy };
    this.#drop(this.#events.length);
    this.#cancelRetry();
  }

  /** Lets go of the exchange, which has ended: the log outlives it, and must not keep its body. */
  release(): void {
    this.#onLost = undefined;
  }

  /** Drops all events, and sends nothing more. */
  close(): void {
    this.#isClosed = true;
    this.#cancelRetry();
    this.#drop(this.#events.length);
  }

  #flush(): void {
    this.#cancelRetry();
    const { send, clock } = this.#options;
    const endIndex = this.#firstIndex + this.#events.length;
    while (this.#nextIndex < endIndex) {
      const event = this.#events[this.#nextIndex - this.#firstIndex] as ProxyEvent;
      if (!send(this.#nextIndex, event)) {
        this.#retryTimer = clock.setTimer(RETRY_MS, () => this.#retry());
        return;
      }
      this.#nextIndex += 1;
      this.#stuckSinceMs = undefined;
    }
  }

  #retry(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#stuckSinceMs ??= nowMs;
    if (nowMs - this.#stuckSinceMs < MAX_SUSPENSION_MS) this.#flush();
    else this.#lose();
  }

  #trim(): void {
    if (!this.#options.isKept) this.#drop(this.#nextIndex - this.#firstIndex);
    while (this.#isTooLarge) {
      if (this.#nextIndex === this.#firstIndex) {
        this.#lose();
        return;
      }
      this.#drop(1);
    }
  }

  get #isTooLarge(): boolean {
    if (this.#events.length === 0) return false;
    const { keptBytes } = this.#options;
    const isOverTotal = keptBytes.total > MAX_TOTAL_BYTES;
    return isOverTotal || this.#bytes > MAX_KEPT_BYTES || this.#events.length > MAX_KEPT_EVENTS;
  }

  #lose(): void {
    this.setFailure(BackendFailure.Broken, PeerFault.EventsDropped);
    this.#sendFailure();
    this.#onLost?.();
  }

  /** A link that is full takes the failure later; without a word the peer would wait on. */
  #sendFailure(): void {
    const { send, clock } = this.#options;
    this.#cancelRetry();
    if (this.#isClosed || !this.#failure || send(this.#nextIndex, this.#failure)) return;
    this.#retryTimer = clock.setTimer(RETRY_MS, () => this.#sendFailure());
  }

  #cancelRetry(): void {
    this.#retryTimer?.cancel();
    this.#retryTimer = undefined;
  }

  #drop(count: number): void {
    const dropped = this.#events.splice(0, count);
    this.#firstIndex += count;
    this.#addBytes(-dropped.reduce((sum, event) => sum + measureBytes(event), 0));
  }

  #addBytes(bytes: number): void {
    this.#bytes += bytes;
    this.#options.keptBytes.total += bytes;
  }
}

function measureBytes(event: ProxyEvent): number {
  if (event.kind === ProxyEventKind.Body) return EVENT_OVERHEAD_BYTES + event.bytes.byteLength;
  if (event.kind !== ProxyEventKind.Head) return EVENT_OVERHEAD_BYTES;
  const headerBytes = event.head.headers.reduce((sum, text) => sum + text.length, 0);
  return EVENT_OVERHEAD_BYTES + headerBytes;
}
