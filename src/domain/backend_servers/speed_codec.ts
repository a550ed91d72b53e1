/**
 * Form of speed evidence in messages: eight integers for each server.
 *
 * A server is named by a hash of its incarnation ID, which takes 5 bytes rather than 25. Of 600
 * servers, two have the same hash with a probability of 0.00004; their evidence would be mixed.
 *
 * @module
 */
import { SpeedSums } from './speed_evidence.js';

const FIELD_COUNT = 8;

/** Factors by which the sums are multiplied before they are rounded. */
const WEIGHT_FACTOR = 1_000;
const DECODE_WEIGHT_FACTOR = 50;
const TIME_FACTOR = 50;

/** Unit of the mean decoding time per token: a microsecond. */
const DECODE_TIME_FACTOR = 1_000;

/** Largest value of a field. */
const MAX_VALUE = 2 ** 32 - 1;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Computes the key of a server incarnation by FNV-1a.
 *
 * @param incarnationId - ID of the incarnation
 * @returns an integer of 32 bits
 */
export function hashIncarnation(incarnationId: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < incarnationId.length; index += 1) {
    hash = Math.imul(hash ^ incarnationId.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/**
 * Encodes evidence.
 *
 * @param speeds - sums by server key
 * @returns eight integers for each server
 */
export function encodeSpeeds(speeds: ReadonlyMap<number, SpeedSums>): number[] {
  return [...speeds].flatMap(([key, sums]) => [
    key,
    round(sums.decodeWeight * DECODE_WEIGHT_FACTOR),
    sums.decodeWeight > 0 ? round((sums.decodeMs / sums.decodeWeight) * DECODE_TIME_FACTOR) : 0,
    round(sums.weight * WEIGHT_FACTOR),
    round(sums.length * WEIGHT_FACTOR),
    round(sums.lengthSquared * WEIGHT_FACTOR),
    round(sums.firstByteMs * TIME_FACTOR),
    round(sums.lengthMs * TIME_FACTOR),
  ]);
}

/**
 * Decodes evidence.
 *
 * @param values - what {@link encodeSpeeds} gives
 * @returns sums by server key; evidence that no samples can give is left out
 */
export function decodeSpeeds(values: readonly number[]): Map<number, SpeedSums> {
  const speeds = new Map<number, SpeedSums>();
  for (let start = 0; start + FIELD_COUNT <= values.length; start += FIELD_COUNT) {
    const fields = values.slice(start, start + FIELD_COUNT);
    const sums = decodeSums(fields);
    if (sums) speeds.set(fields[0] ?? 0, sums);
  }
  return speeds;
}

function decodeSums([
  ,
  decodeWeight = 0,
  decodeTime = 0,
  weight = 0,
  length = 0,
  lengthSquared = 0,
  firstByteMs = 0,
  lengthMs = 0,
]: readonly number[]): SpeedSums | undefined {
  const sums = new SpeedSums();
  sums.decodeWeight = decodeTime > 0 ? decodeWeight / DECODE_WEIGHT_FACTOR : 0;
  sums.decodeMs = (decodeTime / DECODE_TIME_FACTOR) * sums.decodeWeight;
  if (firstByteMs + lengthMs > 0) {
    sums.weight = weight / WEIGHT_FACTOR;
    sums.length = length / WEIGHT_FACTOR;
    sums.lengthSquared = lengthSquared / WEIGHT_FACTOR;
    sums.firstByteMs = firstByteMs / TIME_FACTOR;
    sums.lengthMs = lengthMs / TIME_FACTOR;
  }
  return sums.sampleCount > 0 ? sums : undefined;
}

function round(value: number): number {
  return Math.min(MAX_VALUE, Math.max(0, Math.round(value)));
}
