/**
 * Faults of published documents and their text form.
 *
 * @module
 */

/** One fault of a document. */
export interface DocumentFault {
  /** Line number in the published text, from 1. */
  readonly line: number;
  /** Path of the field, such as `work[2].tier`; empty for the whole document. */
  readonly field: string;
  /** Description of the fault. It never quotes a value that could be an API key. */
  readonly message: string;
}

/** The result of a validation: the parsed document, or all of its faults. */
export type DocumentResult<T> =
  | { readonly valid: true; readonly value: T }
  | { readonly valid: false; readonly faults: readonly DocumentFault[] };

/**
 * Formats a fault as one line of text.
 *
 * @param fault - the fault
 * @returns the text, such as `line 7: work[2].tier: is required`
 */
export function formatFault(fault: DocumentFault): string {
  const fieldPrefix = fault.field === '' ? '' : `${fault.field}: `;
  return `line ${fault.line}: ${fieldPrefix}${fault.message}`;
}
