/**
 * The reason that something thrown gives.
 *
 * @module
 */

/**
 * Formats anything that was thrown for a message or a log line.
 *
 * @param thrown - an error, or whatever else a library threw
 * @returns its message, without a stack trace
 */
export function formatReason(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
