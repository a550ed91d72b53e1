/**
 * What a bench is, and what it is given.
 *
 * @module
 */

/** What a bench is given. */
export interface BenchOptions {
  /** Flags of the command line, without their dashes. */
  readonly flags: ReadonlyMap<string, string>;
  /** Writes one line of progress. */
  readonly note: (line: string) => void;
}

/** What a bench gives back. */
export interface BenchResult {
  /** Everything that is needed to repeat it. */
  readonly settings: Readonly<Record<string, unknown>>;
  /** Columns of the small table. */
  readonly head: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
  /** Raw figures, for the JSON file. */
  readonly figures: unknown;
  /** A page with plots, where the bench draws one. */
  readonly html?: string;
}

/** One measurement that can be repeated by name. */
export interface Bench {
  readonly name: string;
  readonly description: string;
  /** Runs it. @param options - flags. @returns its figures */
  readonly run: (options: BenchOptions) => Promise<BenchResult>;
}

/**
 * Reads a flag that is a number.
 *
 * @param options - the bench's options
 * @param name - the flag's name
 * @param fallback - its value when it is absent
 * @returns the number
 * @throws Error when it is none
 */
export function readNumber(options: BenchOptions, name: string, fallback: number): number {
  const text = options.flags.get(name);
  if (text === undefined) return fallback;
  const value = Number(text);
  if (!Number.isFinite(value)) throw new Error(`Cannot use --${name} "${text}": it is no number`);
  return value;
}

/**
 * Reads a flag that is a list with commas.
 *
 * @param options - the bench's options
 * @param name - the flag's name
 * @param fallback - its value when it is absent
 * @returns the list
 */
export function readList(
  options: BenchOptions,
  name: string,
  fallback: readonly string[],
): readonly string[] {
  const text = options.flags.get(name);
  return text === undefined ? fallback : text.split(',').filter((part) => part !== '');
}
