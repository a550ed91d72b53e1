/**
 * What one attempt means for the load of its backend server.
 *
 * @module
 */
import type {
  RequestWork,
  SendConditions,
  ServerLoad,
  ServerOutcome,
} from '../../domain/backend_servers/mod.js';
import type { Clock, ReportedLoad } from '../../ports/mod.js';

/**
 * Shortest part of a stream from which the decoding speed is learnt while it runs, in
 * milliseconds. Shorter parts would mostly measure how bytes are grouped on their way.
 */
const DECODE_PART_MS = 250;

/** Events of a stream as received up to some moment. */
interface StreamProgress {
  readonly eventCount: number;
  readonly atMs: number;
}

/** Dependencies of an {@link AttemptLoad}. */
export interface AttemptLoadOptions {
  /** Load of the server. */
  readonly load: ServerLoad;
  /** The request; its time starts now. */
  readonly work: RequestWork;
  readonly clock: Clock;
  /** Output tokens per event of a stream. */
  readonly tokensPerEvent: number;
}

/** Records the start, the signs and the end of one attempt, and measures its times. */
export class AttemptLoad {
  readonly #load: ServerLoad;

  readonly #work: RequestWork;

  readonly #clock: Clock;

  readonly #startedAtMs: number;

  /** Predicted time to the first byte, in milliseconds. */
  readonly predictedFirstByteMs: number;

  /** What the prediction rests on. */
  readonly #conditions: SendConditions;

  /** Where the part of the stream begins from which nothing was learnt yet. */
  #partStart: StreamProgress | undefined;

  #newest: StreamProgress | undefined;

  readonly #tokensPerEvent: number;

  #isFirstByteLearnt = false;

  #firstByteMs = 0;

  #signCount = 0;

  #isSilenceRecorded = false;

  /** @param options - dependencies */
  constructor({ load, work, clock, tokensPerEvent }: AttemptLoadOptions) {
    this.#tokensPerEvent = tokensPerEvent;
    this.#load = load;
    this.#work = work;
    this.#clock = clock;
    this.#startedAtMs = clock.nowMs();
    this.predictedFirstByteMs = load.predictFirstByteMs(work, this.#startedAtMs);
    this.#conditions = load.getConditions(work, this.#startedAtMs);
  }

  /** When the attempt started, on the monotonic clock in milliseconds. */
  get startedAtMs(): number {
    return this.#startedAtMs;
  }

  /** Time from the start to the first byte, in milliseconds; 0 before it. */
  get firstByteMs(): number {
    return this.#firstByteMs;
  }

  /** Time since the start, in milliseconds. */
  get totalMs(): number {
    return this.#clock.nowMs() - this.#startedAtMs;
  }

  /** Records that the request is sent. */
  start(): void {
    const nowMs = this.#clock.nowMs();
    if (this.#load.ownInFlight === 0) this.#load.signs.recordAwaited(nowMs);
    this.#load.recordStart(this.#work);
    this.#load.pace.recordSent(nowMs);
  }

  /** Number of parts of the answer that have arrived. */
  get signCount(): number {
    return this.#signCount;
  }

  /** Records a part of the answer. */
  recordSign(): void {
    this.#signCount += 1;
    this.#load.signs.recordHeard(this.#clock.nowMs());
  }

  /** @param reported - load that the head of the answer reports; undefined if none */
  recordHead(reported: ReportedLoad | undefined): void {
    this.recordSign();
    if (reported) this.#load.recordReport(reported, this.#clock.nowMs());
    this.#load.pace.pause.recordAnswered(this.#clock.nowMs());
  }

  /** @returns whether this is the first byte of the body */
  recordFirstByte(): boolean {
    if (this.#firstByteMs > 0) return false;
    this.#firstByteMs = Math.max(0.1, this.totalMs);
    this.#load.recordFirstByte(this.#work);
    return true;
  }

  /** Records, once, that another server is asked because of the silence of this one. */
  recordSilence(): void {
    if (this.#isSilenceRecorded) return;
    this.#isSilenceRecorded = true;
    const waitedMs = this.#firstByteMs === 0 ? this.totalMs : 0;
    this.#load.recordSilence(this.#work, waitedMs, this.#clock.nowMs(), this.#conditions);
  }

  /** @param outcome - how the attempt ended */
  end(outcome: ServerOutcome): void {
    if (this.#firstByteMs === 0) this.#load.recordFirstByte(this.#work);
    this.#load.recordEnd(outcome, this.#clock.nowMs());
  }

  /**
   * Learns from the events of a stream while it runs. The decoding speed is that of the events after
   * the first ones, whose tokens the time to first byte includes.
   *
   * @param eventCount - events of this server so far
   * @param atMs - when the last of them arrived, on the monotonic clock in milliseconds
   */
  recordEvents(eventCount: number, atMs: number): void {
    if (eventCount === 0) return;
    this.#learnFirstByte(this.#firstByteMs);
    this.#newest = { eventCount, atMs };
    this.#partStart ??= this.#newest;
    if (atMs - this.#partStart.atMs >= DECODE_PART_MS) this.#learnPart();
  }

  /** Learns from a whole answer. */
  learnSpeed(): void {
    this.#learnFirstByte(this.#load.speed.isPlain ? this.totalMs : this.#firstByteMs);
    this.#learnPart();
  }

  #learnFirstByte(firstByteMs: number): void {
    if (this.#isFirstByteLearnt || firstByteMs <= 0) return;
    this.#isFirstByteLearnt = true;
    this.#load.learnFirstByte(this.#conditions, firstByteMs, this.#clock.nowMs());
  }

  #learnPart(): void {
    if (!this.#partStart || !this.#newest) return;
    const eventCount = this.#newest.eventCount - this.#partStart.eventCount;
    const partMs = this.#newest.atMs - this.#partStart.atMs;
    this.#partStart = this.#newest;
    this.#load.speed.observeDecode(eventCount * this.#tokensPerEvent, partMs, this.#clock.nowMs());
  }
}
