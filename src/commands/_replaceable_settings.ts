/**
 * Leaves invalid values out of settings where the host can run without them.
 *
 * @module
 */
import type * as z from 'zod';
import { SettingsError } from './settings_error.js';

/** Fault of one value. */
interface SettingFault {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}

/**
 * Receives what was left out of settings.
 *
 * @param faults - one line for each value that was left out
 */
export type SettingsReport = (faults: readonly string[]) => void;

/** The schema of settings, and which of its fields no default may replace. */
export interface ReplaceableSchema<Shape extends z.ZodRawShape> {
  readonly schema: z.ZodObject<Shape>;
  /** Optional fields that are used as given or not at all. */
  readonly irreplaceable: ReadonlySet<string>;
}

/**
 * Checks settings. An invalid value of a field with a default is left out: an invalid entry of a list
 * or table alone, any other value as a whole.
 *
 * @param rules - the schema, and which of its fields no default may replace
 * @param value - the settings, as they were read
 * @param report - receives what was left out; not called if nothing was
 * @returns the checked settings
 * @throws SettingsError with every fault if a field without a default is missing or invalid
 */
export function parseReplaceable<Shape extends z.ZodRawShape>(
  rules: ReplaceableSchema<Shape>,
  value: unknown,
  report: SettingsReport,
): z.infer<z.ZodObject<Shape>> {
  const first = rules.schema.safeParse(value);
  if (first.success) return first.data;
  const { issues } = first.error;
  const faults = issues.map(describeFault);
  if (!issues.every((issue) => isReplaceable(rules, issue))) throw new SettingsError(faults);
  const second = rules.schema.safeParse(removeValues(value as object, issues));
  if (!second.success) throw new SettingsError(faults);
  report(faults);
  return second.data;
}

function describeFault({ path, message }: SettingFault): string {
  return `settings file: ${path.join('.')}: ${message}`;
}

function isReplaceable<Shape extends z.ZodRawShape>(
  { schema, irreplaceable }: ReplaceableSchema<Shape>,
  { path: [field] }: SettingFault,
): boolean {
  if (field === undefined || irreplaceable.has(String(field))) return false;
  return schema.pick({ [field]: true } as never).safeParse({}).success;
}

function removeValues(value: object, faults: readonly SettingFault[]): object {
  const fields = Object.entries(value).flatMap(([name, fieldValue]: [string, unknown]) => {
    const ofField = faults.filter(({ path }) => path[0] === name);
    if (ofField.some(({ path }) => path.length === 1)) return [];
    return [[name, removeEntries(fieldValue, new Set(ofField.map(({ path }) => String(path[1]))))]];
  });
  return Object.fromEntries(fields) as object;
}

/** Leaves entries out of a list or a table. */
function removeEntries(value: unknown, keys: ReadonlySet<string>): unknown {
  if (keys.size === 0) return value;
  if (Array.isArray(value)) return value.filter((_, index) => !keys.has(String(index)));
  return Object.fromEntries(Object.entries(value as object).filter(([key]) => !keys.has(key)));
}
