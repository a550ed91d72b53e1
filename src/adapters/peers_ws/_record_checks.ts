/**
 * Schemas of records of numbers, which make up most of the data in peer messages.
 *
 * A host report holds stats of hundreds of backend servers and accounts. Validation with a Zod
 * parser for each entry took 97 microseconds for a report of 80 entries, and a loop over the
 * entries took 67 (warm, one run each), so these schemas use a loop.
 *
 * @module
 */
import * as z from 'zod';

/** Maximum length of a name in a message, in characters. */
export const MAX_NAME_LENGTH = 512;

/** Maximum number of urgencies for which a report holds figures of one service. */
const MAX_URGENCIES = 64;

/** Schema of a record of non-negative integers. */
export const countsSchema = z.custom<Readonly<Record<string, number>>>((value) =>
  isRecordOf(value, isCount),
);

/** Schema of a record of finite numbers. */
export const numbersSchema = z.custom<Readonly<Record<string, number>>>((value) =>
  isRecordOf(value, Number.isFinite),
);

/** Schema of non-negative figures by service and by urgency. */
export const figuresByUrgencySchema = z.custom<
  Readonly<Record<string, Readonly<Record<string, number>>>>
>((value) => isRecordOf(value, isRecordOfFigures));

function isRecordOfFigures(value: unknown): boolean {
  return isRecordOf(value, isFigure) && Object.keys(value as object).length <= MAX_URGENCIES;
}

function isFigure(value: unknown): boolean {
  return Number.isFinite(value) && (value as number) >= 0;
}
/** Longest list of integers. */
const MAX_INTEGERS = 16_384;

/** Schema of a list of non-negative integers. */
export const integersSchema = z.custom<readonly number[]>(
  (value) => Array.isArray(value) && value.length <= MAX_INTEGERS && value.every(isCount),
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
