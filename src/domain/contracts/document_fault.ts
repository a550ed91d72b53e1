/**
 * What is wrong with a published document, and where.
 *
 * @module
 */

/** One fault of a document. */
export interface DocumentFault {
  /** Line in the published text, from 1. */
  readonly line: number;
  /** Path of the field, such as `work[2].tier`; empty for the whole document. */
  readonly field: string;
  /** What is wrong with it. Holds no value that could be a key. */
  readonly message: string;
}

/** A document that was checked: either what follows from it, or all its faults. */
export type DocumentResult<T> =
  | { readonly valid: true; readonly value: T }
  | { readonly valid: false; readonly faults: readonly DocumentFault[] };

/**
 * Writes a fault as one line of text.
 *
 * @param fault - the fault
 * @returns such as `line 7: work[2].tier: is required`
 */
export function formatFault(fault: DocumentFault): string {
  const place = fault.field === '' ? '' : `${fault.field}: `;
  return `line ${fault.line}: ${place}${fault.message}`;
}
