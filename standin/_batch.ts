/**
 * Continuous batching: a step prefills a chunk and decodes a token a sequence.
 *
 * @module
 */
import { TOKENS_PER_BLOCK } from './_prompt.js';
import type { PrefixCache } from './_prefix_cache.js';
import type { RunRecord } from './_run_log.js';

/** Speeds of an engine. */
export interface EngineSpeed {
  readonly prefillTokensPerSecond: number;
  /** Of one stream alone. */
  readonly decodeTokensPerSecond: number;
  readonly maxBatch: number;
  /** All durations are multiplied by it. */
  readonly timeScale: number;
}

/** One answer on its way. */
export interface Sequence {
  readonly run: RunRecord;
  readonly promptTokens: number;
  readonly blockHashes: readonly string[];
  readonly outputTokens: number;
  /** Called for each token, and says whether the sequence goes on. */
  readonly onToken: (index: number) => boolean;
  readonly onEnd: () => void;
  /** Called when the whole prompt was prefilled. */
  readonly onPrefilled: () => void;
}

interface RunningSequence {
  readonly sequence: Sequence;
  prefillLeft: number;
}

interface Step {
  readonly prefilling: RunningSequence | undefined;
  readonly chunkTokens: number;
  readonly decoding: readonly RunningSequence[];
  readonly durationMs: number;
}

const PREFILL_CHUNK_TOKENS = 512;
/** A step with a full batch takes so much longer than one with a single stream. */
const FULL_BATCH_GROWTH = 1;
const MS_PER_SECOND = 1000;
/** A late timer catches up at most this far, in milliseconds. */
const MAX_CATCH_UP_MS = 250;

/** Runs sequences as they come; it knows no priorities. */
export class Batch {
  readonly #waiting: Sequence[] = [];

  #running: RunningSequence[] = [];

  #timer: NodeJS.Timeout | undefined;

  #step: Step | undefined;

  #stepEndMs = 0;

  /**
   * @param speed - how fast it is
   * @param cache - the prefix cache
   * @param getSlowness - how many times as long a step takes now
   * @param onChange - called when the counts have changed
   */
  constructor(
    readonly speed: EngineSpeed,
    readonly cache: PrefixCache,
    readonly getSlowness: () => number,
    readonly onChange: () => void,
  ) {}

  /** How many sequences run. */
  get runningCount(): number {
    return this.#running.length;
  }

  /** How many sequences wait for a place in the batch. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  /** @param sequence - runs as soon as there is a place */
  add(sequence: Sequence): void {
    this.#waiting.push(sequence);
    if (!this.#step) {
      this.#startStep(performance.now());
      this.#schedule();
    }
    this.onChange();
  }

  /** @param run - whose sequence to take out */
  remove(run: RunRecord): void {
    const index = this.#waiting.findIndex((sequence) => sequence.run === run);
    if (index >= 0) this.#waiting.splice(index, 1);
    this.#running = this.#running.filter((each) => each.sequence.run !== run);
    this.onChange();
  }

  /** Takes back the timer. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  #startStep(startMs: number): void {
    this.#admitWaiting();
    if (this.#running.length === 0) {
      this.#step = undefined;
      return;
    }
    this.#step = this.#pickStep();
    this.#stepEndMs = startMs + this.#step.durationMs;
  }

  #admitWaiting(): void {
    while (this.#running.length < this.speed.maxBatch && this.#waiting.length > 0) {
      const sequence = this.#waiting.shift() as Sequence;
      const cached = this.cache.countCached(sequence.blockHashes) * TOKENS_PER_BLOCK;
      sequence.run.cachedTokens = Math.min(cached, sequence.promptTokens - 1);
      const prefillLeft = sequence.promptTokens - sequence.run.cachedTokens;
      this.#running.push({ sequence, prefillLeft });
    }
  }

  #pickStep(): Step {
    const prefilling = this.#running.find((each) => each.prefillLeft > 0);
    const decoding = this.#running.filter((each) => each.prefillLeft === 0);
    const chunkTokens = Math.min(prefilling?.prefillLeft ?? 0, PREFILL_CHUNK_TOKENS);
    return {
      prefilling,
      chunkTokens,
      decoding,
      durationMs: this.#computeDurationMs(chunkTokens, decoding.length),
    };
  }

  #computeDurationMs(chunkTokens: number, streams: number): number {
    const { prefillTokensPerSecond, decodeTokensPerSecond, maxBatch, timeScale } = this.speed;
    const growth = 1 + (FULL_BATCH_GROWTH * Math.max(0, streams - 1)) / maxBatch;
    const decodeSeconds = streams === 0 ? 0 : growth / decodeTokensPerSecond;
    const prefillSeconds = chunkTokens / prefillTokensPerSecond;
    const seconds = decodeSeconds + prefillSeconds;
    return seconds * MS_PER_SECOND * timeScale * this.getSlowness();
  }

  #schedule(): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(
      () => {
        this.#runDueSteps();
      },
      Math.max(0, this.#stepEndMs - performance.now()),
    );
  }

  /** Timers have a grain of a millisecond; steps that are due together run together. */
  #runDueSteps(): void {
    const nowMs = performance.now();
    this.#stepEndMs = Math.max(this.#stepEndMs, nowMs - MAX_CATCH_UP_MS);
    while (this.#step && this.#stepEndMs <= nowMs) {
      this.#apply(this.#step);
      this.#startStep(this.#stepEndMs);
    }
    if (this.#step) this.#schedule();
    this.onChange();
  }

  #apply(step: Step): void {
    this.#applyPrefill(step);
    const ended = step.decoding.filter((each) => !this.#decode(each));
    this.#running = this.#running.filter((each) => !ended.includes(each));
  }

  #applyPrefill(step: Step): void {
    const each = step.prefilling;
    if (!each || !this.#running.includes(each)) return;
    each.prefillLeft -= step.chunkTokens;
    each.sequence.run.prefillTokens += step.chunkTokens;
    if (each.prefillLeft > 0) return;
    this.cache.add(each.sequence.blockHashes);
    each.sequence.onPrefilled();
  }

  #decode(each: RunningSequence): boolean {
    if (!this.#running.includes(each)) return false;
    const { run, onToken, onEnd, outputTokens } = each.sequence;
    const goesOn = onToken(run.outputTokens);
    run.outputTokens += 1;
    if (!goesOn) return false;
    if (run.outputTokens < outputTokens) return true;
    onEnd();
    return false;
  }
}
