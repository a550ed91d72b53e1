/**
 * Validates one published document and reports all of its faults together.
 *
 * @module
 */
import type { z } from 'zod';
import { MAX_DOCUMENT_BYTES, MAX_FAULTS } from './document_bounds.js';
import type { DocumentFault, DocumentResult } from './document_fault.js';
import { locateFields } from './_field_locations.js';
import type { FieldPath, FieldLocations } from './_field_locations.js';

/** A fault of one field, before its line in the text is known. */
export interface FieldFault {
  readonly path: FieldPath;
  readonly message: string;
}

/** How one type of document is validated. */
export interface DocumentRules<T> {
  readonly schema: z.ZodType<T>;
  /** Checks relations between fields; the raw document may be malformed in any way. */
  readonly checkFieldRelations: (raw: unknown) => readonly FieldFault[];
}

/**
 * Parses and validates a document.
 *
 * @param document - the published text, or its UTF-8 bytes
 * @param rules - the schema and the checks between fields
 * @returns the typed document, or its faults ordered by line
 */
export function parseDocument<T>(
  document: Uint8Array | string,
  rules: DocumentRules<T>,
): DocumentResult<T> {
  const text = decodeText(document);
  if (text === undefined) return buildInvalidResult([buildDocumentFault('is not UTF-8 text')]);
  if (text.length > MAX_DOCUMENT_BYTES || document.length > MAX_DOCUMENT_BYTES) {
    return buildInvalidResult([buildDocumentFault(`is longer than ${MAX_DOCUMENT_BYTES} bytes`)]);
  }
  const locations = locateFields(text);
  if (locations.faults.some((fault) => fault.path.length === 0)) {
    return buildInvalidResult(
      locations.faults.map((fault) => locateFault(locations, fault, fault.line)),
    );
  }
  const raw = parseJson(text);
  if (raw === undefined) return buildInvalidResult([buildDocumentFault('is not valid JSON')]);
  return validateRaw(raw, locations, rules);
}

function validateRaw<T>(
  raw: unknown,
  locations: FieldLocations,
  rules: DocumentRules<T>,
): DocumentResult<T> {
  const parsed = rules.schema.safeParse(raw);
  const faults = [
    ...locations.faults.map((fault) => locateFault(locations, fault, fault.line)),
    ...(parsed.error?.issues ?? [])
      .flatMap(convertIssue)
      .map((fault) => locateFault(locations, fault)),
    ...rules.checkFieldRelations(raw).map((fault) => locateFault(locations, fault)),
  ];
  if (faults.length > 0 || !parsed.success) return buildInvalidResult(faults);
  return { valid: true, value: parsed.data };
}

function buildInvalidResult<T>(faults: readonly DocumentFault[]): DocumentResult<T> {
  const sorted = [...faults].sort((a, b) => a.line - b.line).slice(0, MAX_FAULTS);
  return { valid: false, faults: sorted };
}

function buildDocumentFault(message: string): DocumentFault {
  return { line: 1, field: '', message };
}

function locateFault(locations: FieldLocations, fault: FieldFault, line?: number): DocumentFault {
  return {
    line: line ?? locations.findLine(fault.path),
    field: formatPath(fault.path),
    message: fault.message,
  };
}

/** Converts a schema issue; an unknown field is located at itself, not at its parent object. */
function convertIssue(issue: z.core.$ZodIssue): readonly FieldFault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      path: [...issue.path, key],
      message: 'is an unknown field',
    }));
  }
  const isMissing = issue.code === 'invalid_type' && issue.message.endsWith('received undefined');
  return [{ path: issue.path, message: isMissing ? 'is required' : issue.message }];
}

function formatPath(path: FieldPath): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text === '' ? String(part) : `${text}.${String(part)}`;
  }, '');
}

function decodeText(document: Uint8Array | string): string | undefined {
  if (typeof document === 'string') return document;
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(document);
  } catch {
    return undefined;
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
