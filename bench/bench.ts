/**
 * Defines the interface of a bench, and reads its command-line flags.
 *
 * @module
 */

/** Inputs of a bench. */
export interface BenchOptions {
  /** Command-line flags by name, without leading dashes. */
  readonly flags: ReadonlyMap<string, string>;
  /** Reports one line of progress. */
  readonly reportProgress: (line: string) => void;
}

/** Results of a bench. */
export interface BenchResult {
  /** Settings needed to repeat the bench. */
  readonly settings: Readonly<Record<string, unknown>>;
  /** Column titles of the printed table. */
  readonly head: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
  /** Raw results, for the JSON file. */
  readonly figures: unknown;
  /** HTML page with plots, if the bench creates one. */
  readonly html?: string;
}

/** A measurement that can be run by name. */
export interface Bench {
  readonly name: string;
  readonly description: string;
  /** Runs the bench. @param options - inputs of the bench. @returns its results */
  readonly run: (options: BenchOptions) => Promise<BenchResult>;
}

/**
 * Reads a numeric flag.
 *
 * @param options - the bench's options
 * @param name - the flag's name
 * @param fallback - its value when it is absent
 * @returns the number
 * @throws Error when the value is not a finite number
 */
export function readNumber(options: BenchOptions, name: string, fallback: number): number {
  const text = options.flags.get(name);
  if (text === undefined) return fallback;
  const value = Number(text);
  if (!Number.isFinite(value))
    throw new Error(`Cannot use --${name} "${text}": it is not a number`);
  return value;
}

/**
 * Reads a flag that is a comma-separated list.
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
  return text === undefined ? fallback : text.split(',').filter((item) => item !== '');
}
