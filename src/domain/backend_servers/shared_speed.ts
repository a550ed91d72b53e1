/**
 * Speed of one backend server, estimated from the evidence of all entry hosts.
 *
 * @module
 */
import { ServerSpeed } from '../scheduling/server_speed.js';
import type { NominalSpeed, SpeedEstimate, SpeedSample } from '../scheduling/server_speed.js';
import {
  clampSample,
  computeDecay,
  EVIDENCE_HALF_LIFE_MS,
  fitSpeed,
  limitWeight,
  MAX_HOST_WEIGHT,
  SpeedSums,
} from './speed_evidence.js';

/**
 * Assumed speeds before the first measurement, in tokens per second: the order of magnitude of
 * one stream on current engines. The first measurement replaces them.
 */
const INITIAL_SPEED: NominalSpeed = {
  prefillTokensPerSecond: 100_000,
  decodeTokensPerSecond: 250,
};

/** Half-life of the difference between the remembered speed and the evidence, in milliseconds. */
const MEMORY_HALF_LIFE_MS = 6_000;

/** Weight of evidence, in samples, with which the remembered speed follows it at half its rate. */
const HALF_TRUST_WEIGHT = 2;

/** Weight below which a server counts as one without evidence, in samples. */
const MIN_WEIGHT = 0.3;

/** Weight of the memory among the evidence, in samples: at first, and at most. */
const INITIAL_MEMORY_WEIGHT = 0.2;
const MAX_MEMORY_WEIGHT = 3;

/** Number of samples up to which the memory is the mean of all evidence, and which it counts. */
const EARLY_SAMPLES = 10;
const MAX_MEMORY_SAMPLES = 20;

/** Time without evidence after which half of what makes a server seem slow is forgotten, in ms. */
const RELAX_HALF_LIFE_MS = 8_000;

const NO_SUMS: Readonly<SpeedSums> = new SpeedSums();

/**
 * Combines three sources: the evidence of all entry hosts, which decays within seconds; a slower
 * memory of it, which holds while there is none; and this host's own samples, which both contain.
 */
export class SharedSpeed {
  readonly #memory: ServerSpeed;

  /** Evidence of this host, as of {@link SharedSpeed.#ownAtMs}. */
  readonly #own = new SpeedSums();

  #ownAtMs = 0;

  /** Evidence of the peers, as of {@link SharedSpeed.#peersAtMs}. */
  #peers = NO_SUMS;

  #peersAtMs = 0;

  #evidenceAtMs = Number.NEGATIVE_INFINITY;

  #evidenceWeight = 0;

  #estimate: SpeedEstimate;

  #sampleCount = 0;

  #isStarted = false;

  /** Number of samples that the memory rests on. */
  #memorySamples = 0;

  /** @param isPlain - whether the server serves a plain service, whose calls have no tokens */
  constructor(readonly isPlain: boolean) {
    this.#memory = new ServerSpeed(INITIAL_SPEED, isPlain, 0);
    this.#estimate = this.#memory.estimate;
  }

  /** Output tokens per second of one stream. */
  get decodeTokensPerSecond(): number {
    return 1_000 / this.#estimate.decodeMsPerToken;
  }

  /** What predictions rest on. */
  get estimate(): SpeedEstimate {
    return this.#estimate;
  }

  /** Whether anything is known of this server itself. */
  get isKnown(): boolean {
    return this.#memory.hasSamples;
  }

  /** Number of this host's samples so far. */
  get sampleCount(): number {
    return this.#sampleCount;
  }

  /** Weight of the evidence at the last update, in samples. */
  get evidenceWeight(): number {
    return this.#evidenceWeight;
  }

  /** When there was last enough evidence, on the monotonic clock in milliseconds. */
  get evidenceAtMs(): number {
    return this.#evidenceAtMs;
  }

  /**
   * Predicts the time to first byte without the effect of the load.
   *
   * @param prefillTokens - prompt tokens to compute
   * @returns time in milliseconds
   */
  predictFirstByteMs(prefillTokens: number): number {
    const { fixedMs, prefillMsPerToken } = this.#estimate;
    return this.isPlain ? fixedMs : fixedMs + prefillTokens * prefillMsPerToken;
  }

  /** @param sample - a whole answer, from which this host alone learns */
  observe(sample: SpeedSample): void {
    this.#memory.observe(sample);
    this.#refresh();
  }

  /**
   * Learns from a request that was given up before its first byte.
   *
   * @param prefillTokens - its prompt tokens
   * @param waitedMs - how long it was awaited, in milliseconds
   */
  observeAtLeast(prefillTokens: number, waitedMs: number): void {
    if (waitedMs <= this.predictFirstByteMs(prefillTokens)) return;
    this.#memory.observeAtLeast(prefillTokens, waitedMs);
    this.#refresh();
  }

  /**
   * Learns from the time to first byte of one request.
   *
   * @param prefillTokens - prompt tokens that were computed until then
   * @param firstByteMs - the time without the effect of the load, in milliseconds
   * @param nowMs - monotonic time in milliseconds
   */
  observeFirstByte(prefillTokens: number, firstByteMs: number, nowMs: number): void {
    const tokens = this.isPlain ? 0 : prefillTokens;
    const expectedMs = this.predictFirstByteMs(tokens);
    this.#decayOwn(nowMs);
    this.#own.addFirstByte(tokens, this.#limitSample(firstByteMs, expectedMs));
    this.#memory.observeFirstByte(tokens, firstByteMs);
    this.#finishSample(nowMs);
  }

  /**
   * Learns from a part of a stream.
   *
   * @param outputTokens - tokens that the part holds
   * @param decodeMs - time that the server took for them, in milliseconds
   * @param nowMs - monotonic time in milliseconds
   */
  observeDecode(outputTokens: number, decodeMs: number, nowMs: number): void {
    if (this.isPlain || outputTokens <= 0 || decodeMs <= 0) return;
    this.#decayOwn(nowMs);
    const expectedMs = this.#estimate.decodeMsPerToken;
    this.#own.addDecode(this.#limitSample(decodeMs / outputTokens, expectedMs), decodeMs);
    this.#memory.observeDecode(outputTokens, decodeMs);
    this.#finishSample(nowMs);
  }

  /** @param nowMs - monotonic time in milliseconds. @returns this host's evidence for its peers */
  getOwnEvidence(nowMs: number): SpeedSums {
    this.#decayOwn(nowMs);
    return limitWeight(this.#own, MAX_HOST_WEIGHT);
  }

  /**
   * Takes in the evidence of the peers, and lets the memory follow all evidence.
   *
   * @param peers - sums of the peers, decayed until now
   * @param nowMs - monotonic time in milliseconds
   */
  update(peers: Readonly<SpeedSums>, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#peersAtMs);
    this.#peers = peers;
    this.#peersAtMs = nowMs;
    this.#decayOwn(nowMs);
    this.#refresh();
    this.#adjustMemory(elapsedMs, nowMs);
  }

  /** @param start - where a server starts of which nothing is known; the first one counts */
  setStart(start: SpeedEstimate): void {
    if (this.isKnown || this.#isStarted) return;
    this.#isStarted = true;
    this.#memory.adjust(start, 1);
    this.#refresh();
  }

  /**
   * Lets a server without evidence seem faster with time, so that some host tries it again: all hosts
   * share one estimate, and would avoid a server for good that was slow for a moment.
   *
   * @param best - estimate of the fastest server of the service that is in use
   * @param elapsedMs - time since the last call, in milliseconds
   */
  relax(best: SpeedEstimate, elapsedMs: number): void {
    if (this.#evidenceWeight >= MIN_WEIGHT) return;
    const remembered = this.#memory.estimate;
    const target = {
      fixedMs: Math.min(remembered.fixedMs, best.fixedMs),
      prefillMsPerToken: Math.min(remembered.prefillMsPerToken, best.prefillMsPerToken),
      decodeMsPerToken: Math.min(remembered.decodeMsPerToken, best.decodeMsPerToken),
    };
    const left = 2 ** (-elapsedMs / RELAX_HALF_LIFE_MS);
    this.#memory.adjust(target, 1 - left);
    this.#memorySamples *= left;
    this.#refresh();
  }

  #adjustMemory(elapsedMs: number, nowMs: number): void {
    const weight = this.#evidenceWeight;
    if (weight < MIN_WEIGHT) return;
    this.#evidenceAtMs = nowMs;
    const trust = weight / (weight + HALF_TRUST_WEIGHT);
    const isEarly = this.#memorySamples < EARLY_SAMPLES;
    const fraction = isEarly ? 1 : trust * (1 - 2 ** (-elapsedMs / MEMORY_HALF_LIFE_MS));
    this.#memory.adjust(this.#estimate, fraction);
    this.#memory.keepSteadyWeight();
    const samples = weight * Math.min(1, elapsedMs / EVIDENCE_HALF_LIFE_MS);
    this.#memorySamples = Math.min(MAX_MEMORY_SAMPLES, this.#memorySamples + samples);
  }

  #limitSample(value: number, expected: number): number {
    return this.isKnown ? clampSample(value, expected) : value;
  }

  #decayOwn(nowMs: number): void {
    const decay = computeDecay(Math.max(0, nowMs - this.#ownAtMs));
    this.#own.add(this.#own, decay - 1);
    this.#ownAtMs = nowMs;
  }

  #finishSample(nowMs: number): void {
    this.#sampleCount += 1;
    this.#memorySamples = Math.min(MAX_MEMORY_SAMPLES, this.#memorySamples + 1);
    this.#evidenceAtMs = nowMs;
    this.#refresh();
  }

  #refresh(): void {
    const peersAgeMs = Math.max(0, this.#ownAtMs - this.#peersAtMs);
    const sums = new SpeedSums().add(this.#own).add(this.#peers, computeDecay(peersAgeMs));
    this.#evidenceWeight = sums.sampleCount;
    const remembered = this.#memory.estimate;
    const memoryWeight = Math.min(MAX_MEMORY_WEIGHT, INITIAL_MEMORY_WEIGHT + this.#memorySamples);
    this.#estimate =
      this.#evidenceWeight < MIN_WEIGHT ? remembered : fitSpeed(sums, remembered, memoryWeight);
  }
}
