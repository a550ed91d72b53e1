/**
 * What one attempt means for the load of its backend server.
 *
 * @module
 */
import type { RequestWork, ServerLoad, ServerOutcome } from '../../domain/backend_servers/mod.js';
import type { Clock } from '../../ports/mod.js';

/** Records the start, the signs and the end of one attempt, and measures its times. */
export class AttemptLoad {
  readonly #load: ServerLoad;

  readonly #work: RequestWork;

  readonly #clock: Clock;

  readonly #startedAtMs: number;

  /** Predicted time to the first byte, in milliseconds. */
  readonly predictedFirstByteMs: number;

  #firstByteMs = 0;

  #signCount = 0;

  #isSilenceRecorded = false;

  /**
   * @param load - load of the server
   * @param work - the request; its time starts now
   * @param clock - provides monotonic time
   */
  constructor(load: ServerLoad, work: RequestWork, clock: Clock) {
    this.#load = load;
    this.#work = work;
    this.#clock = clock;
    this.#startedAtMs = clock.nowMs();
    this.predictedFirstByteMs = load.predictFirstByteMs(work);
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

  /** Records the head of the answer. */
  recordHead(): void {
    this.recordSign();
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
    this.#load.recordSilence(this.#work, waitedMs, this.#clock.nowMs());
  }

  /** @param outcome - how the attempt ended */
  end(outcome: ServerOutcome): void {
    if (this.#firstByteMs === 0) this.#load.recordFirstByte(this.#work);
    this.#load.recordEnd(outcome, this.#clock.nowMs());
  }

  /** @param outputTokens - tokens of a whole answer, from which the speed of the server is learnt */
  learnSpeed(outputTokens: number): void {
    this.#load.speed.observe({
      prefillTokens: this.#work.promptTokens,
      outputTokens,
      firstByteMs: this.#firstByteMs,
      totalMs: this.totalMs,
    });
  }
}
