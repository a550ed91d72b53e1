/**
 * Fields that documents have in common.
 *
 * @module
 */
import * as z from 'zod';
import { MAX_ID_LENGTH } from './document_bounds.js';
import type { FieldPath } from './_json_lines.js';
import type { RuleFault } from './_document.js';

/** An ID as operators write it. */
export const idField = z
  .string()
  .max(MAX_ID_LENGTH)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'must be letters, digits, ".", "_" and "-"');

/** A whole number from 1 to `most`. */
export function buildCountField(most: number): z.ZodNumber {
  return z.number().int().min(1).max(most);
}

/** A positive number, fractions included, up to `most`. */
export function buildRateField(most: number): z.ZodNumber {
  return z.number().positive().max(most);
}

/** A text field that is read leniently: whatever is no text is no match for any rule. */
export const lenientText = z.string().optional().catch(undefined);

/** A list that is read leniently, for checks between fields of a faulty document. */
export function buildLenientList<T extends z.ZodType>(
  item: T,
): z.ZodCatch<z.ZodArray<z.ZodCatch<z.ZodOptional<T>>>> {
  return z.array(item.optional().catch(undefined)).catch([]);
}

/** One name, and where it stands. */
export interface NamedPath {
  readonly name: string | undefined;
  readonly path: FieldPath;
}

/**
 * Finds names that stand more than once.
 *
 * @param names - the names, with their places
 * @param message - what to say of each repetition
 * @returns a fault for each but the first
 */
export function findRepeated(names: readonly NamedPath[], message: string): readonly RuleFault[] {
  const seen = new Set<string>();
  return names.flatMap(({ name, path }) => {
    if (name === undefined) return [];
    if (seen.has(name)) return [{ path, message }];
    seen.add(name);
    return [];
  });
}
