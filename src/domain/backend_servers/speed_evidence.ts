/**
 * Evidence of the speed of a backend server, as sums that can be added up over entry hosts.
 *
 * All sums decay with the same half-life. A sum that is not reported anew therefore stays exact: its
 * receiver lets it decay just as its sender does, and a relay's sum of sums is the sum of all
 * samples.
 *
 * @module
 */
import type { SpeedEstimate } from '../scheduling/server_speed.js';

/** Time after which a sample counts half, in milliseconds. */
export const EVIDENCE_HALF_LIFE_MS = 1_500;

/**
 * Largest weight of one host's evidence for one server, in samples: several times what a host of a
 * fleet sees of a server, so only a host that sees much or errs reaches it.
 */
export const MAX_HOST_WEIGHT = 2;

/** Factor by which one sample or one host may differ from what others say. */
const MAX_DEVIATION = 4;

/** Weight of other hosts' evidence from which a host is compared with them. */
const MIN_COMPARED_WEIGHT = 1;

/** Unit of prompt lengths in the sums, in tokens. */
const LENGTH_UNIT_TOKENS = 1_000;

/** Length at which the remembered prefill speed enters the fit, in length units. */
const PRIOR_LENGTH = 6;

/** Duration of a part of a stream that counts as one sample of decoding, in milliseconds. */
const DECODE_SAMPLE_MS = 250;

/**
 * Sums over samples. Of a request with a prompt of `length` units, the sums of the first byte hold
 * `1 / (1 + length) ** 2` times 1, `length`, `length ** 2`, the time, and `length` times the time:
 * what a linear fit of the relative errors needs. A ratio to an assumed model would need one sum only,
 * but it mixes up a slow server with one that had short prompts where the model's fixed part is wrong.
 */
export class SpeedSums {
  /** Samples of decoding; shorter parts of a stream count less. */
  decodeWeight = 0;

  /** Sum of the decoding time per token, in milliseconds. */
  decodeMs = 0;

  weight = 0;

  length = 0;

  lengthSquared = 0;

  /** Sum of the times to first byte without the effect of the load, in milliseconds. */
  firstByteMs = 0;

  lengthMs = 0;

  /** Number of samples of a first byte. */
  get firstByteCount(): number {
    return Math.max(0, this.weight + 2 * this.length + this.lengthSquared);
  }

  /** Number of samples of both kinds. */
  get sampleCount(): number {
    return this.firstByteCount + Math.max(0, this.decodeWeight);
  }

  /**
   * Adds other sums.
   *
   * @param source - sums to add
   * @param factor - factor of the added sums; -1 to take them off
   * @returns these sums
   */
  add(source: Readonly<SpeedSums>, factor = 1): this {
    this.decodeWeight += source.decodeWeight * factor;
    this.decodeMs += source.decodeMs * factor;
    this.weight += source.weight * factor;
    this.length += source.length * factor;
    this.lengthSquared += source.lengthSquared * factor;
    this.firstByteMs += source.firstByteMs * factor;
    this.lengthMs += source.lengthMs * factor;
    return this;
  }

  /**
   * Adds the time to first byte of one request.
   *
   * @param tokens - prompt tokens that were read until then
   * @param firstByteMs - the time without the effect of the load, in milliseconds
   * @param count - number of samples that it counts for
   */
  addFirstByte(tokens: number, firstByteMs: number, count = 1): void {
    const length = tokens / LENGTH_UNIT_TOKENS;
    const weight = count / (1 + length) ** 2;
    this.weight += weight;
    this.length += weight * length;
    this.lengthSquared += weight * length * length;
    this.firstByteMs += weight * firstByteMs;
    this.lengthMs += weight * length * firstByteMs;
  }

  /**
   * Adds a part of a stream. It counts by its duration rather than by its tokens, of which a server
   * that has become slow brings few.
   *
   * @param msPerToken - decoding time per token, in milliseconds
   * @param partMs - duration of the part, in milliseconds
   */
  addDecode(msPerToken: number, partMs: number): void {
    const weight = Math.min(1, partMs / DECODE_SAMPLE_MS);
    this.decodeWeight += weight;
    this.decodeMs += weight * msPerToken;
  }
}

/** @param elapsedMs - age in milliseconds. @returns factor of a sum of that age */
export function computeDecay(elapsedMs: number): number {
  return 2 ** (-elapsedMs / EVIDENCE_HALF_LIFE_MS);
}

/**
 * Estimates the speed from evidence and from what is remembered. Where the evidence is of prompts of
 * one length only, the remembered relation of the fixed part to the prefill speed remains.
 *
 * @param sums - evidence
 * @param remembered - the remembered speed
 * @param memoryWeight - weight of the remembered speed among the evidence, in samples; above 0
 * @returns the estimate
 */
export function fitSpeed(
  sums: Readonly<SpeedSums>,
  remembered: SpeedEstimate,
  memoryWeight: number,
): SpeedEstimate {
  const decodeMsPerToken =
    (sums.decodeMs + memoryWeight * remembered.decodeMsPerToken) /
    (sums.decodeWeight + memoryWeight);
  const count = sums.firstByteCount;
  const scale = computeRatio(sums, remembered) ** (count / (count + memoryWeight));
  const scaledFixedMs = remembered.fixedMs * scale;
  const scaledMsPerUnit = remembered.prefillMsPerToken * LENGTH_UNIT_TOKENS * scale;
  const total = new SpeedSums().add(sums);
  total.addFirstByte(0, scaledFixedMs, memoryWeight / 2);
  const priorMs = scaledFixedMs + PRIOR_LENGTH * scaledMsPerUnit;
  total.addFirstByte(PRIOR_LENGTH * LENGTH_UNIT_TOKENS, priorMs, memoryWeight / 2);
  const { fixedMs, msPerUnit } = fitLine(total);
  return { fixedMs, prefillMsPerToken: msPerUnit / LENGTH_UNIT_TOKENS, decodeMsPerToken };
}

/** Fits times to lengths by least squares, both parts at least 0. */
function fitLine({ weight, length, lengthSquared, firstByteMs, lengthMs }: SpeedSums): {
  readonly fixedMs: number;
  readonly msPerUnit: number;
} {
  const determinant = weight * lengthSquared - length * length;
  const fixedMs = (firstByteMs * lengthSquared - lengthMs * length) / determinant;
  if (fixedMs <= 0) return { fixedMs: 0, msPerUnit: lengthMs / lengthSquared };
  const msPerUnit = (weight * lengthMs - length * firstByteMs) / determinant;
  if (msPerUnit <= 0) return { fixedMs: firstByteMs / weight, msPerUnit: 0 };
  return { fixedMs, msPerUnit };
}

/** Computes by which factor the times to first byte in sums are longer than estimated. */
function computeRatio(sums: Readonly<SpeedSums>, estimate: SpeedEstimate): number {
  const msPerUnit = estimate.prefillMsPerToken * LENGTH_UNIT_TOKENS;
  const expectedMs =
    estimate.fixedMs * (sums.weight + sums.length) + msPerUnit * (sums.length + sums.lengthSquared);
  const observedMs = sums.firstByteMs + sums.lengthMs;
  return expectedMs > 0 && observedMs > 0 ? observedMs / expectedMs : 1;
}

/**
 * Limits a sample to within a factor of an estimate.
 *
 * @param value - the sample
 * @param estimate - the estimate
 * @returns the sample or the nearest value that is accepted
 */
export function clampSample(value: number, estimate: number): number {
  return Math.min(estimate * MAX_DEVIATION, Math.max(estimate / MAX_DEVIATION, value));
}

/**
 * Limits the evidence of some hosts, so that one host can't spoil an estimate for all: by its weight,
 * and by its difference from what the others say. Where the others have no evidence, it is compared
 * with the estimate. The comparison leaves the limited evidence itself out, which would otherwise
 * move its own limit further with each report.
 *
 * @param sums - evidence of the hosts
 * @param others - evidence of all other hosts
 * @param estimate - what this host estimates
 * @param hostCount - number of hosts that the evidence is from
 * @returns the limited evidence
 */
export function clampSums(
  sums: Readonly<SpeedSums>,
  others: Readonly<SpeedSums>,
  estimate: SpeedEstimate,
  hostCount: number,
): SpeedSums {
  const maxWeight = hostCount * MAX_HOST_WEIGHT;
  const clamped = limitWeight(sums, maxWeight);
  if (clamped.decodeWeight > 0) {
    const referenceMs =
      others.decodeWeight >= MIN_COMPARED_WEIGHT
        ? others.decodeMs / others.decodeWeight
        : estimate.decodeMsPerToken;
    const msPerToken = clamped.decodeMs / clamped.decodeWeight;
    clamped.decodeMs = clampSample(msPerToken, referenceMs) * clamped.decodeWeight;
  }
  const ratio = computeRatio(clamped, estimate);
  const isCompared = others.firstByteCount >= MIN_COMPARED_WEIGHT;
  const factor = clampSample(ratio, isCompared ? computeRatio(others, estimate) : 1) / ratio;
  clamped.firstByteMs *= factor;
  clamped.lengthMs *= factor;
  return clamped;
}

/**
 * Limits the weight of evidence.
 *
 * @param sums - evidence
 * @param maxWeight - largest weight of each kind, in samples
 * @returns a copy with the same means
 */
export function limitWeight(sums: Readonly<SpeedSums>, maxWeight: number): SpeedSums {
  const limited = new SpeedSums().add(
    sums,
    Math.min(1, maxWeight / Math.max(sums.firstByteCount, 1e-9)),
  );
  const decodeFactor = Math.min(1, maxWeight / Math.max(sums.decodeWeight, 1e-9));
  limited.decodeWeight = sums.decodeWeight * decodeFactor;
  limited.decodeMs = sums.decodeMs * decodeFactor;
  return limited;
}
