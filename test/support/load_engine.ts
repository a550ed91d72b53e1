/**
 * Plays a model engine: slots, prompts that are read one at a time, and streams that are decoded
 * together.
 *
 * @module
 */
import { BackendFailure } from '../../src/ports/mod.js';
import type { Clock, RandomSource, ReportedLoad, Timer } from '../../src/ports/mod.js';
import type { FakeExchange } from './direct_ends.js';

/** Time on the way to an engine, in milliseconds. */
const LINK_MS = 1;

/** Part of the time to the first event that doesn't depend on the prompt, in milliseconds. */
const FIXED_MS = 20;

/** Growth of the time per token with each further stream, as a fraction. */
const BATCH_GROWTH = 0.04;

/** An engine is slower by this factor now and then, for a short time. */
const NOISE_FACTOR = 2.5;
const NOISE_MS = 600;
const MEAN_NOISE_PAUSE_MS = 20_000;

/** Properties of an engine. */
export interface EngineTraits {
  readonly slots: number;
  /** Speed relative to the usual engine. */
  readonly speed: number;
  /** Number of requests that wait at the engine before it declines more. */
  readonly queueLimit: number;
  readonly promptTokensPerMs: number;
  readonly msPerToken: number;
  readonly tokensPerEvent: number;
}

/** Work of a request, as the engine finds it when it runs. */
export interface EngineWork {
  readonly promptTokens: number;
  readonly events: number;
}

interface EngineRun {
  readonly exchange: FakeExchange;
  readonly work: EngineWork;
  readonly onEnd: () => void;
  nextEvent: number;
  /** Time that the engine had spent on prompts when the timer was set, in milliseconds. */
  readMs: number;
  timer: Timer | undefined;
  hasEnded: boolean;
}

/** Dependencies of a {@link LoadEngine}. */
export interface LoadEngineOptions extends EngineTraits {
  readonly clock: Clock;
  readonly random: RandomSource;
}

/**
 * Predicts how long a request holds a slot of an engine whose slots are all taken, in milliseconds.
 */
export function computeFullHoldMs(
  traits: EngineTraits,
  { promptTokens, events }: EngineWork,
): number {
  const { slots, speed, promptTokensPerMs, msPerToken, tokensPerEvent } = traits;
  const growth = 1 + BATCH_GROWTH * (slots - 1);
  const decodeMs = events * tokensPerEvent * msPerToken * growth;
  // The prompts of the other streams are read in the meantime.
  const readMs = (slots * promptTokens) / promptTokensPerMs;
  return FIXED_MS + (decodeMs + readMs) / speed;
}

/** One engine, which a fleet hands its requests to. */
export class LoadEngine {
  /** Factor by which the engine is slower than usual. */
  slowdown = 1;

  readonly #options: LoadEngineOptions;

  readonly #running = new Set<EngineRun>();

  #waiting: EngineRun[] = [];

  /** Time that was spent on prompts, in milliseconds. */
  #readMs = 0;

  #readsUntilMs = 0;

  #noiseAtMs: number;

  /** Number of requests that were declined. */
  declined = 0;

  /** IDs of the requests that began to run. */
  readonly startedIds = new Set<string>();

  constructor(options: LoadEngineOptions) {
    this.#options = options;
    this.#noiseAtMs = options.clock.nowMs() + this.#drawNoisePauseMs();
  }

  /** Number of free slots; 0 if requests wait at the engine. */
  get freeSlots(): number {
    return Math.max(0, this.#options.slots - this.#running.size - this.#waiting.length);
  }

  /** Number of requests that run or wait here. */
  get inFlight(): number {
    return this.#running.size + this.#waiting.length;
  }

  /** Takes a request. @param onEnd - called when the request no longer holds anything here */
  serve(exchange: FakeExchange, work: EngineWork, onEnd: () => void): void {
    const run: EngineRun = {
      exchange,
      work,
      onEnd,
      nextEvent: Number(exchange.request.lastEventId ?? 0) + 1,
      readMs: 0,
      timer: undefined,
      hasEnded: false,
    };
    const cancel = (): void => {
      Object.assign(exchange, { isCancelled: true });
      this.#end(run);
    };
    Object.assign(exchange, { cancel });
    this.#setTimer(run, LINK_MS, () => this.#arrive(run));
  }

  /** Forgets all runs, as a process that ends does. */
  stop(): void {
    [...this.#running, ...this.#waiting].forEach((run) => {
      run.timer?.cancel();
      Object.assign(run, { hasEnded: true });
    });
    this.#running.clear();
    this.#waiting = [];
  }

  /** Predicts from full knowledge how long a request sent now takes, in milliseconds. */
  predictHoldMs({ promptTokens, events }: EngineWork): number {
    const { clock, slots } = this.#options;
    const readMs = this.#computeReadMs(promptTokens);
    const busyMs = Math.max(0, this.#readsUntilMs - clock.nowMs());
    const left = [...this.#running].map(({ work, nextEvent }) => work.events - nextEvent + 1);
    const turn = this.#running.size + this.#waiting.length - slots;
    const eventsAhead = turn < 0 ? 0 : (left.sort((a, b) => a - b)[Math.min(turn, slots - 1)] ?? 0);
    const streams = Math.min(slots, this.#running.size + 1);
    return busyMs + readMs + FIXED_MS + (eventsAhead + events) * this.#computeEventMs(streams);
  }

  #arrive(run: EngineRun): void {
    const { slots, queueLimit } = this.#options;
    if (this.#running.size < slots) this.#start(run);
    else if (this.#waiting.length < queueLimit) this.#waiting.push(run);
    else {
      this.declined += 1;
      this.#end(run);
      run.exchange.fail(BackendFailure.Declined);
    }
  }

  #start(run: EngineRun): void {
    const { clock } = this.#options;
    this.#running.add(run);
    this.startedIds.add(run.exchange.request.request.requestId);
    const nowMs = clock.nowMs();
    const readMs = this.#computeReadMs(run.work.promptTokens);
    this.#readsUntilMs = Math.max(nowMs, this.#readsUntilMs) + readMs;
    this.#readMs += readMs;
    const eventMs = this.#computeEventMs(this.#running.size);
    this.#schedule(run, this.#readsUntilMs - nowMs + FIXED_MS + eventMs);
  }

  #schedule(run: EngineRun, delayMs: number): void {
    Object.assign(run, { readMs: this.#readMs });
    this.#setTimer(run, delayMs, () => this.#decode(run));
  }

  /** Streams rest while prompts are read that arrived after the timer was set. */
  #decode(run: EngineRun): void {
    const restMs = this.#readMs - run.readMs;
    if (restMs > 0) this.#schedule(run, restMs);
    else this.#sendEvent(run);
  }

  #sendEvent(run: EngineRun): void {
    const { exchange, work, nextEvent } = run;
    const isLast = nextEvent >= work.events;
    const isFirst = nextEvent === Number(exchange.request.lastEventId ?? 0) + 1;
    Object.assign(run, { nextEvent: nextEvent + 1 });
    if (isLast) this.#end(run);
    else this.#schedule(run, this.#computeEventMs(this.#running.size));
    if (isFirst) exchange.sendHead({ isEventStream: true, load: this.#buildLoad() });
    exchange.events(nextEvent, nextEvent);
    if (isLast) exchange.listener.onComplete();
  }

  #end(run: EngineRun): void {
    if (run.hasEnded) return;
    Object.assign(run, { hasEnded: true });
    run.timer?.cancel();
    this.#waiting = this.#waiting.filter((other) => other !== run);
    if (this.#running.delete(run)) {
      const next = this.#waiting.shift();
      if (next) this.#start(next);
    }
    run.onEnd();
  }

  #buildLoad(): ReportedLoad {
    const { slots } = this.#options;
    return { running: this.#running.size, waiting: this.#waiting.length, slots };
  }

  #computeReadMs(promptTokens: number): number {
    const { speed, promptTokensPerMs } = this.#options;
    return (promptTokens / promptTokensPerMs / speed) * this.#computeSlowdown();
  }

  #computeEventMs(streams: number): number {
    const { speed, msPerToken, tokensPerEvent } = this.#options;
    const growth = 1 + BATCH_GROWTH * (streams - 1);
    return ((tokensPerEvent * msPerToken * growth) / speed) * this.#computeSlowdown();
  }

  #computeSlowdown(): number {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs >= this.#noiseAtMs + NOISE_MS) this.#noiseAtMs = nowMs + this.#drawNoisePauseMs();
    return this.slowdown * (nowMs >= this.#noiseAtMs ? NOISE_FACTOR : 1);
  }

  #drawNoisePauseMs(): number {
    return -Math.log(1 - this.#options.random.nextFraction()) * MEAN_NOISE_PAUSE_MS;
  }

  #setTimer(run: EngineRun, delayMs: number, callback: () => void): void {
    Object.assign(run, { timer: this.#options.clock.setTimer(delayMs, callback) });
  }
}
