/**
 * Formats thrown values for messages and log lines.
 *
 * @module
 */

/**
 * Formats a thrown value for a message or a log line.
 *
 * @param thrown - an error, or any other value that a library threw
 * @returns the error's message without a stack trace, or the value as text
 */
export function formatReason(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
