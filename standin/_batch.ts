/**
 * Simulates continuous batching: each step prefills one chunk of a prompt and decodes one
 * token for every sequence whose prompt is prefilled.
 *
 * @module
 */
import { TOKENS_PER_BLOCK } from './_prompt.js';
import type { PrefixCache } from './_prefix_cache.js';
import type { RunRecord } from './_run_log.js';

/** Speed and batch size of an engine. */
export interface EngineSpeed {
  readonly prefillTokensPerSecond: number;
  /** Decode speed of a sequence that runs alone. */
  readonly decodeTokensPerSecond: number;
  readonly maxBatch: number;
  /** Factor by which all durations are multiplied. */
  readonly timeScale: number;
}

/** A prompt and the response that is generated for it. */
export interface Sequence {
  readonly run: RunRecord;
  readonly promptTokens: number;
  readonly blockHashes: readonly string[];
  readonly outputTokens: number;
  /** Called with the index of each decoded token; returns whether the sequence continues. */
  readonly onToken: (index: number) => boolean;
  readonly onEnd: () => void;
  /** Called when the whole prompt is prefilled. */
  readonly onPrefilled: () => void;
}

interface RunningSequence {
  readonly sequence: Sequence;
  prefillTokensLeft: number;
}

/** One step: the prefill of a chunk for one sequence and the decoding of others. */
interface Step {
  readonly prefilling: RunningSequence | undefined;
  readonly chunkTokens: number;
  readonly decoding: readonly RunningSequence[];
  readonly durationMs: number;
}

const PREFILL_CHUNK_TOKENS = 512;
/** A decode step with a full batch takes up to (1 + this) times as long as one sequence alone. */
const FULL_BATCH_SLOWDOWN = 1;
const MS_PER_SECOND = 1000;
/** Longest delay of a timer that is made up for by running overdue steps, in milliseconds. */
const MAX_CATCH_UP_MS = 250;

/** Runs sequences in order of arrival, without priorities. */
export class Batch {
  readonly #waiting: Sequence[] = [];

  #running: RunningSequence[] = [];

  #timer: NodeJS.Timeout | undefined;

  #step: Step | undefined;

  #stepEndMs = 0;

  /**
   * @param speed - speed and batch size of the engine
   * @param cache - the prefix cache
   * @param getSlowdownFactor - returns the factor by which a fault currently slows down each step
   * @param onChange - called when the number of running or waiting sequences may have changed
   */
  constructor(
    readonly speed: EngineSpeed,
    readonly cache: PrefixCache,
    readonly getSlowdownFactor: () => number,
    readonly onChange: () => void,
  ) {}

  /** Number of sequences in the batch. */
  get runningCount(): number {
    return this.#running.length;
  }

  /** Number of sequences that wait for a place in the batch. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  /** Queues a sequence. @param sequence - it runs as soon as the batch has a free place */
  add(sequence: Sequence): void {
    this.#waiting.push(sequence);
    if (!this.#step) {
      this.#startStep(performance.now());
      this.#schedule();
    }
    this.onChange();
  }

  /** Removes the sequence of a run from the queue or the batch. @param run - the run */
  remove(run: RunRecord): void {
    const index = this.#waiting.findIndex((sequence) => sequence.run === run);
    if (index >= 0) this.#waiting.splice(index, 1);
    this.#running = this.#running.filter((each) => each.sequence.run !== run);
    this.onChange();
  }

  /** Clears the timer. */
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
      this.#running.push({ sequence, prefillTokensLeft: prefillLeft });
    }
  }

  #pickStep(): Step {
    const prefilling = this.#running.find((each) => each.prefillTokensLeft > 0);
    const decoding = this.#running.filter((each) => each.prefillTokensLeft === 0);
    const chunkTokens = Math.min(prefilling?.prefillTokensLeft ?? 0, PREFILL_CHUNK_TOKENS);
    return {
      prefilling,
      chunkTokens,
      decoding,
      durationMs: this.#computeDurationMs(chunkTokens, decoding.length),
    };
  }

  #computeDurationMs(chunkTokens: number, streams: number): number {
    const { prefillTokensPerSecond, decodeTokensPerSecond, maxBatch, timeScale } = this.speed;
    const batchSlowdown = 1 + (FULL_BATCH_SLOWDOWN * Math.max(0, streams - 1)) / maxBatch;
    const decodeSeconds = streams === 0 ? 0 : batchSlowdown / decodeTokensPerSecond;
    const prefillSeconds = chunkTokens / prefillTokensPerSecond;
    const seconds = decodeSeconds + prefillSeconds;
    return seconds * MS_PER_SECOND * timeScale * this.getSlowdownFactor();
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

  /** Runs all due steps in one go, since timers have a resolution of one millisecond. */
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
    each.prefillTokensLeft -= step.chunkTokens;
    each.sequence.run.prefillTokens += step.chunkTokens;
    if (each.prefillTokensLeft > 0) return;
    this.cache.add(each.sequence.blockHashes);
    each.sequence.onPrefilled();
  }

  #decode(each: RunningSequence): boolean {
    if (!this.#running.includes(each)) return false;
    const { run, onToken, onEnd, outputTokens } = each.sequence;
    const mustContinue = onToken(run.outputTokens);
    run.outputTokens += 1;
    if (!mustContinue) return false;
    if (run.outputTokens < outputTokens) return true;
    onEnd();
    return false;
  }
}
