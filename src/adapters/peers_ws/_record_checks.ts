/**
 * Checks of records of numbers, which make up most of what peers tell each other.
 *
 * A report holds the figures of hundreds of backend servers and accounts. A schema that looks at
 * each entry through a parser of its own took 97 microseconds for a report of 80 entries, a loop 67
 * (warm, one run each).
 *
 * @module
 */
import * as z from 'zod';

/** Longest name in a message, in characters. */
export const MAX_NAME_LENGTH = 512;

/** Check of a record of whole numbers that aren't negative. */
export const countsSchema = z.custom<Readonly<Record<string, number>>>((value) =>
  isRecordOf(value, isCount),
);

/** Check of a record of finite numbers. */
export const numbersSchema = z.custom<Readonly<Record<string, number>>>((value) =>
  isRecordOf(value, Number.isFinite),
);

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isRecordOf(value: unknown, isValue: (value: unknown) => boolean): boolean {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return false;
  return Object.entries(value).every(
    ([key, entry]) => key.length <= MAX_NAME_LENGTH && isValue(entry),
  );
}
