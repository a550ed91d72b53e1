/**
 * Measures the speed of one backend server.
 *
 * @module
 */

/** Lowest weight of a sample in the averages. */
const SPEED_ALPHA = 0.15;

/** Fewest output tokens in a sample; below that, fixed costs outweigh the decoding speed. */
const MIN_DECODE_TOKENS = 4;

/** Bounds of a measured speed, as multiples of the engine kind's nominal speed. */
const MIN_SPEED_FACTOR = 0.02;
const MAX_SPEED_FACTOR = 4;

/** Duration of a plain service's call before the first observation, in milliseconds. */
const INITIAL_PLAIN_MS = 20;

/** Fixed part of the time to first byte before the first observation, in milliseconds. */
const INITIAL_FIXED_MS = 5;

/**
 * Prompt length for which a deviation in time to first byte is attributed half
 * to the fixed part and half to the prefill speed, in tokens.
 */
const EVEN_SPLIT_TOKENS = 500;

/** Nominal speed of an engine kind, from which learning starts. */
export interface NominalSpeed {
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
}

/** Work of one request on one backend server. */
export interface ServerWork {
  /** Prompt tokens that the server's cache does not hold. */
  readonly prefillTokens: number;
  readonly outputTokens: number;
}

/** Measurements of one answered request. */
export interface SpeedSample {
  readonly prefillTokens: number;
  readonly outputTokens: number;
  readonly firstByteMs: number;
  readonly totalMs: number;
}

/** Times by which a server's speed is predicted. */
export interface SpeedEstimate {
  /** Fixed part of the time to first byte; for a plain service, of a whole call, in milliseconds. */
  readonly fixedMs: number;
  readonly prefillMsPerToken: number;
  readonly decodeMsPerToken: number;
}

/**
 * Tracks speed by moving averages. Time to first byte is modeled as a fixed
 * part, mostly queueing inside the backend server, plus a part for each prompt
 * token. Without the fixed part, a short ping that waits long would make a long
 * prompt look impossible.
 */
export class ServerSpeed {
  #fixedMs = INITIAL_FIXED_MS;

  #prefillMsPerToken: number;

  #decodeTokensPerSecond: number;

  #plainCallMs = INITIAL_PLAIN_MS;

  #firstByteCount = 0;

  #decodeCount = 0;

  readonly #nominalWeight: number;

  /**
   * @param nominal - the engine kind's nominal speed
   * @param isPlain - whether it serves a plain service, whose calls have no
   *   tokens
   * @param nominalWeight - number of samples that the nominal speed counts for. With 0, the first
   *   sample replaces it, and the first samples count as a plain mean.
   */
  constructor(
    readonly nominal: NominalSpeed,
    readonly isPlain: boolean,
    nominalWeight = Infinity,
  ) {
    this.#nominalWeight = nominalWeight;
    this.#prefillMsPerToken = 1000 / nominal.prefillTokensPerSecond;
    this.#decodeTokensPerSecond = nominal.decodeTokensPerSecond;
  }

  /** Prompt tokens per second. */
  get prefillTokensPerSecond(): number {
    return 1000 / this.#prefillMsPerToken;
  }

  /** Output tokens per second of one stream. */
  get decodeTokensPerSecond(): number {
    return this.#decodeTokensPerSecond;
  }

  /** Whether any sample of a time to first byte or of decoding was learnt. */
  get hasSamples(): boolean {
    return this.#firstByteCount + this.#decodeCount > 0;
  }

  /** What the predictions rest on. */
  get estimate(): SpeedEstimate {
    return {
      fixedMs: this.isPlain ? this.#plainCallMs : this.#fixedMs,
      prefillMsPerToken: this.#prefillMsPerToken,
      decodeMsPerToken: 1000 / this.#decodeTokensPerSecond,
    };
  }

  /**
   * Predicts the time to first byte.
   *
   * @param prefillTokens - prompt tokens to compute
   * @returns time in milliseconds
   */
  predictFirstByteMs(prefillTokens: number): number {
    if (this.isPlain) return this.#plainCallMs;
    return this.#fixedMs + prefillTokens * this.#prefillMsPerToken;
  }

  /**
   * Returns a fixed reference for the time to first byte. A learned reference
   * would mistake lasting queueing inside the backend server for a slow server,
   * and hide the queueing.
   *
   * @param prefillTokens - prompt tokens to compute
   * @returns time to first byte at the engine kind's nominal speed, in
   *   milliseconds
   */
  getNominalFirstByteMs(prefillTokens: number): number {
    if (this.isPlain) return INITIAL_PLAIN_MS;
    return INITIAL_FIXED_MS + (prefillTokens / this.nominal.prefillTokensPerSecond) * 1000;
  }

  /**
   * Predicts how long a request holds its slot.
   *
   * @param work - the request's work on this server
   * @returns time in milliseconds
   */
  predictWorkMs(work: ServerWork): number {
    if (this.isPlain) return Math.max(1, this.#plainCallMs);
    const decodeMs = (work.outputTokens / this.#decodeTokensPerSecond) * 1000;
    return this.predictFirstByteMs(work.prefillTokens) + decodeMs;
  }

  /**
   * Computes by which factor the server is slower than its engine kind's
   * nominal speed.
   *
   * @returns 1 at the nominal speed, above 1 if slower
   */
  computeSlowdown(): number {
    if (this.isPlain) return this.#plainCallMs / INITIAL_PLAIN_MS;
    const { prefillTokensPerSecond, decodeTokensPerSecond } = this.nominal;
    return Math.max(
      (this.#prefillMsPerToken * prefillTokensPerSecond) / 1000,
      decodeTokensPerSecond / this.#decodeTokensPerSecond,
    );
  }

  /** @param sample - measurements of one answered request */
  observe(sample: SpeedSample): void {
    if (this.isPlain) {
      this.observeFirstByte(0, Math.max(0, sample.totalMs));
      return;
    }
    const { firstByteMs, outputTokens, prefillTokens } = sample;
    if (firstByteMs > 0) this.observeFirstByte(prefillTokens, firstByteMs);
    this.observeDecode(outputTokens, sample.totalMs - firstByteMs);
  }

  /**
   * Learns from the time to first byte of one request.
   *
   * @param prefillTokens - prompt tokens that were computed until then; 0 for a plain service
   * @param firstByteMs - the time, of the whole call for a plain service, in milliseconds
   */
  observeFirstByte(prefillTokens: number, firstByteMs: number): void {
    this.#firstByteCount += 1;
    const alpha = this.#computeAlpha(this.#firstByteCount);
    if (this.isPlain) this.#plainCallMs += alpha * (firstByteMs - this.#plainCallMs);
    else this.#updateFirstByte(prefillTokens, firstByteMs, alpha);
  }

  /**
   * Learns from a part of a stream.
   *
   * @param outputTokens - tokens that the part holds
   * @param decodeMs - time that the server took for them, in milliseconds
   */
  observeDecode(outputTokens: number, decodeMs: number): void {
    if (this.isPlain || outputTokens < MIN_DECODE_TOKENS || decodeMs <= 0) return;
    this.#decodeCount += 1;
    this.#decodeTokensPerSecond = averageSpeed(
      this.#decodeTokensPerSecond,
      clampDecodeSpeed((outputTokens / decodeMs) * 1000, this.nominal),
      this.#computeAlpha(this.#decodeCount),
    );
  }

  /**
   * Moves the averages toward an estimate.
   *
   * @param target - the estimate
   * @param fraction - how far, from 0 (not at all) to 1
   */
  adjust(target: SpeedEstimate, fraction: number): void {
    const current = this.estimate;
    const mix = (from: number, to: number): number => from + fraction * (to - from);
    if (this.isPlain) this.#plainCallMs = mix(current.fixedMs, target.fixedMs);
    else this.#fixedMs = mix(current.fixedMs, target.fixedMs);
    this.#prefillMsPerToken = this.#clampPerTokenMs(
      mix(current.prefillMsPerToken, target.prefillMsPerToken),
    );
    const decodeMsPerToken = mix(current.decodeMsPerToken, target.decodeMsPerToken);
    this.#decodeTokensPerSecond = clampDecodeSpeed(1000 / decodeMsPerToken, this.nominal);
  }

  /** Gives further samples the steady weight, since the averages hold more than the own ones. */
  keepSteadyWeight(): void {
    const steadyCount = 1 / SPEED_ALPHA;
    this.#firstByteCount = Math.max(this.#firstByteCount, steadyCount);
    this.#decodeCount = Math.max(this.#decodeCount, steadyCount);
  }

  #clampPerTokenMs(perTokenMs: number): number {
    const nominalPerTokenMs = 1000 / this.nominal.prefillTokensPerSecond;
    return Math.min(
      nominalPerTokenMs / MIN_SPEED_FACTOR,
      Math.max(nominalPerTokenMs / MAX_SPEED_FACTOR, perTokenMs),
    );
  }

  /** The first samples count as a plain mean, in which the nominal speed has its own weight. */
  #computeAlpha(sampleCount: number): number {
    return Math.max(SPEED_ALPHA, 1 / (this.#nominalWeight + sampleCount));
  }

  /**
   * Learns from a request that was given up before its first byte. Nothing is learnt where it was
   * expected to take longer.
   *
   * @param prefillTokens - its prompt tokens
   * @param waitedMs - how long it was awaited, in milliseconds
   */
  observeAtLeast(prefillTokens: number, waitedMs: number): void {
    if (waitedMs <= this.predictFirstByteMs(prefillTokens)) return;
    this.observeFirstByte(prefillTokens, waitedMs);
  }

  /**
   * Updates both parts by normalized least mean squares, with the prompt length
   * in units of {@link EVEN_SPLIT_TOKENS}.
   */
  #updateFirstByte(prefillTokens: number, firstByteMs: number, alpha: number): void {
    const length = prefillTokens / EVEN_SPLIT_TOKENS;
    const error = firstByteMs - this.predictFirstByteMs(prefillTokens);
    const step = (alpha * error) / (1 + length * length);
    this.#fixedMs = Math.max(0, this.#fixedMs + step);
    this.#prefillMsPerToken = this.#clampPerTokenMs(
      this.#prefillMsPerToken + (step * length) / EVEN_SPLIT_TOKENS,
    );
  }
}

function clampDecodeSpeed(tokensPerSecond: number, nominal: NominalSpeed): number {
  const { decodeTokensPerSecond } = nominal;
  return Math.min(
    decodeTokensPerSecond * MAX_SPEED_FACTOR,
    Math.max(decodeTokensPerSecond * MIN_SPEED_FACTOR, tokensPerSecond),
  );
}

/**
 * Averages the time per token rather than the speed, so that a few very fast
 * samples cannot hide many slow ones.
 */
function averageSpeed(current: number, sample: number, alpha: number): number {
  return 1 / ((1 - alpha) / current + alpha / sample);
}
