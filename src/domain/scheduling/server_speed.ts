/**
 * Measured speed of one backend server.
 *
 * @module
 */

/** Part of each sample in the averages. */
const SPEED_ALPHA = 0.15;

/** Fewest output tokens that a sample must rest on; below, fixed costs outweigh the speed. */
const MIN_DECODE_TOKENS = 4;

/** Bounds of a measured speed, as multiples of the engine kind's figure. */
const MIN_SPEED_PART = 0.02;
const MAX_SPEED_PART = 4;

/** Time of a plain service's call before anything was learnt, in milliseconds. */
const START_PLAIN_MS = 20;

/** Time to the first byte beside the prompt's tokens, before anything was learnt, in milliseconds. */
const START_FIXED_MS = 5;

/**
 * Prompt length at which an unexpected time to the first byte is put down half
 * to the fixed part and half to the speed, in tokens.
 */
const EVEN_SPLIT_TOKENS = 500;

/** Figures that learning starts from. */
export interface StartingSpeed {
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
}

/** Work of one request on one backend server. */
export interface ServerWork {
  /** Prompt tokens that its cache doesn't hold. */
  readonly prefillTokens: number;
  readonly outputTokens: number;
}

/** What one answered request showed. */
export interface SpeedSample {
  readonly prefillTokens: number;
  readonly outputTokens: number;
  readonly firstByteMs: number;
  readonly totalMs: number;
}

/**
 * Follows speed by averages. Time to the first byte is learnt as a fixed part,
 * mostly waiting inside the backend server, plus a part for each prompt token: a
 * one-line ping that waits long must not make a long prompt look impossible.
 */
export class ServerSpeed {
  #fixedMs = START_FIXED_MS;

  #prefillMsPerToken: number;

  #decode: number;

  #plainMs = START_PLAIN_MS;

  /**
   * @param start - the engine kind's figures
   * @param isPlain - whether it is a plain service, whose calls have no tokens
   */
  constructor(
    readonly start: StartingSpeed,
    readonly isPlain: boolean,
  ) {
    this.#prefillMsPerToken = 1000 / start.prefillTokensPerSecond;
    this.#decode = start.decodeTokensPerSecond;
  }

  /** Prompt tokens a second. */
  get prefillTokensPerSecond(): number {
    return 1000 / this.#prefillMsPerToken;
  }

  /** Output tokens a second of one stream. */
  get decodeTokensPerSecond(): number {
    return this.#decode;
  }

  /** @param prefillTokens - prompt tokens to compute. @returns predicted time to the first byte, in milliseconds */
  predictFirstByteMs(prefillTokens: number): number {
    if (this.isPlain) return this.#plainMs;
    return this.#fixedMs + prefillTokens * this.#prefillMsPerToken;
  }

  /**
   * Gives a fixed measure for first-byte latency: against the learnt speed,
   * lasting queueing in the backend server would look like a slow one.
   *
   * @param prefillTokens - prompt tokens to compute
   * @returns time to the first byte by the engine kind's figure, in milliseconds
   */
  getStartFirstByteMs(prefillTokens: number): number {
    if (this.isPlain) return START_PLAIN_MS;
    return START_FIXED_MS + (prefillTokens / this.start.prefillTokensPerSecond) * 1000;
  }

  /** @param work - the request's work here. @returns predicted time that it holds a slot, in milliseconds */
  predictWorkMs(work: ServerWork): number {
    if (this.isPlain) return Math.max(1, this.#plainMs);
    const decodeMs = (work.outputTokens / this.#decode) * 1000;
    return this.predictFirstByteMs(work.prefillTokens) + decodeMs;
  }

  /**
   * Computes how much slower it is than its engine kind says.
   *
   * @returns 1 at the kind's speed, above 1 when slower
   */
  computeSlowdown(): number {
    if (this.isPlain) return this.#plainMs / START_PLAIN_MS;
    const { prefillTokensPerSecond, decodeTokensPerSecond } = this.start;
    return Math.max(
      (this.#prefillMsPerToken * prefillTokensPerSecond) / 1000,
      decodeTokensPerSecond / this.#decode,
    );
  }

  /** @param sample - what one answered request showed */
  observe(sample: SpeedSample): void {
    if (this.isPlain) {
      this.#plainMs += SPEED_ALPHA * (Math.max(0, sample.totalMs) - this.#plainMs);
      return;
    }
    const { firstByteMs, outputTokens } = sample;
    if (firstByteMs > 0) this.#observeFirstByte(sample);
    const decodeMs = sample.totalMs - firstByteMs;
    if (outputTokens >= MIN_DECODE_TOKENS && decodeMs > 0)
      this.#decode = mergeSpeed(
        this.#decode,
        outputTokens / decodeMs,
        this.start.decodeTokensPerSecond,
      );
  }

  /** Least mean squares, normalized, with the prompt's length in units of the even split. */
  #observeFirstByte({ firstByteMs, prefillTokens }: SpeedSample): void {
    const length = prefillTokens / EVEN_SPLIT_TOKENS;
    const error = firstByteMs - this.predictFirstByteMs(prefillTokens);
    const step = (SPEED_ALPHA * error) / (1 + length * length);
    const startMs = 1000 / this.start.prefillTokensPerSecond;
    const perTokenMs = this.#prefillMsPerToken + (step * length) / EVEN_SPLIT_TOKENS;
    this.#fixedMs = Math.max(0, this.#fixedMs + step);
    this.#prefillMsPerToken = Math.min(
      startMs / MIN_SPEED_PART,
      Math.max(startMs / MAX_SPEED_PART, perTokenMs),
    );
  }
}

/**
 * Averages over time for a token, not over speeds: a few very fast samples
 * can't hide many slow ones then.
 */
function mergeSpeed(current: number, tokensPerMs: number, start: number): number {
  const sample = Math.min(
    start * MAX_SPEED_PART,
    Math.max(start * MIN_SPEED_PART, tokensPerMs * 1000),
  );
  return 1 / ((1 - SPEED_ALPHA) / current + SPEED_ALPHA / sample);
}
