/**
 * Schemas and checks that several documents share.
 *
 * @module
 */
import * as z from 'zod';
import { MAX_ID_LENGTH } from './document_bounds.js';
import type { FieldPath } from './_field_locations.js';
import type { FieldFault } from './_document.js';

/** An ID that an operator chooses. */
export const idField = z
  .string()
  .max(MAX_ID_LENGTH)
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]*$/,
    'must begin with a letter or digit and hold only letters, digits, ".", "_" and "-"',
  );

/** Builds the schema of an integer from 1 to `max`. */
export function buildCountField(max: number): z.ZodNumber {
  return z.number().int().min(1).max(max);
}

/** Builds the schema of a positive number, with or without a fraction, up to `max`. */
export function buildRateField(max: number): z.ZodNumber {
  return z.number().positive().max(max);
}

/** A text field of a possibly malformed document; any value but text is read as undefined. */
export const lenientTextField = z.string().optional().catch(undefined);

/** Builds the schema of a list in a malformed document; invalid items are read as undefined. */
export function buildLenientListField<T extends z.ZodType>(
  item: T,
): z.ZodCatch<z.ZodArray<z.ZodCatch<z.ZodOptional<T>>>> {
  return z.array(item.optional().catch(undefined)).catch([]);
}

/** A name and the path of the field that holds it. */
export interface NamedPath {
  readonly name: string | undefined;
  readonly path: FieldPath;
}

/**
 * Finds names that occur more than once.
 *
 * @param names - the names and their paths
 * @param message - the message for each duplicate
 * @returns a fault for each occurrence of a name after its first
 */
export function findDuplicates(
  names: readonly NamedPath[],
  message: string,
): readonly FieldFault[] {
  const seen = new Set<string>();
  return names.flatMap(({ name, path }) => {
    if (name === undefined) return [];
    if (seen.has(name)) return [{ path, message }];
    seen.add(name);
    return [];
  });
}
