/**
 * Reads one published document against its schema, giving all faults at once.
 *
 * @module
 */
import type { z } from 'zod';
import { MAX_DOCUMENT_BYTES, MAX_FAULTS } from './document_bounds.js';
import type { DocumentFault, DocumentResult } from './document_fault.js';
import { readJsonLines } from './_json_lines.js';
import type { FieldPath, JsonLines } from './_json_lines.js';

/** A fault that concerns several fields of one document. */
export interface RuleFault {
  readonly path: FieldPath;
  readonly message: string;
}

/** How one type of document is checked. */
export interface DocumentRules<T> {
  readonly schema: z.ZodType<T>;
  /** Checks between fields; takes the raw document, which may be faulty in any way. */
  readonly checkRules: (raw: unknown) => readonly RuleFault[];
}

/**
 * Checks a document.
 *
 * @param published - the text, or its bytes as they were published
 * @param rules - schema and checks between fields
 * @returns the typed document, or its faults in the order of their lines
 */
export function parseDocument<T>(
  published: Uint8Array | string,
  rules: DocumentRules<T>,
): DocumentResult<T> {
  const text = decodeText(published);
  if (text === undefined) return refuse([buildWholeFault('is not UTF-8 text')]);
  if (text.length > MAX_DOCUMENT_BYTES || published.length > MAX_DOCUMENT_BYTES) {
    return refuse([buildWholeFault(`is longer than ${MAX_DOCUMENT_BYTES} bytes`)]);
  }
  const lines = readJsonLines(text);
  if (lines.faults.some((fault) => fault.path.length === 0)) {
    return refuse(lines.faults.map((fault) => toFault(lines, fault, fault.line)));
  }
  const raw = parseJson(text);
  if (raw === undefined) return refuse([buildWholeFault('is no JSON')]);
  return checkRaw(raw, lines, rules);
}

function checkRaw<T>(raw: unknown, lines: JsonLines, rules: DocumentRules<T>): DocumentResult<T> {
  const parsed = rules.schema.safeParse(raw);
  const faults = [
    ...lines.faults.map((fault) => toFault(lines, fault, fault.line)),
    ...(parsed.error?.issues ?? []).flatMap(listIssueFaults).map((fault) => toFault(lines, fault)),
    ...rules.checkRules(raw).map((fault) => toFault(lines, fault)),
  ];
  if (faults.length > 0 || !parsed.success) return refuse(faults);
  return { valid: true, value: parsed.data };
}

function refuse<T>(faults: readonly DocumentFault[]): DocumentResult<T> {
  const sorted = [...faults].sort((a, b) => a.line - b.line).slice(0, MAX_FAULTS);
  return { valid: false, faults: sorted };
}

function buildWholeFault(message: string): DocumentFault {
  return { line: 1, field: '', message };
}

function toFault(lines: JsonLines, fault: RuleFault, line?: number): DocumentFault {
  return {
    line: line ?? lines.findLine(fault.path),
    field: formatPath(fault.path),
    message: fault.message,
  };
}

/** An unknown field is told where it stands, not where the object around it begins. */
function listIssueFaults(issue: z.core.$ZodIssue): readonly RuleFault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({ path: [...issue.path, key], message: 'is not known' }));
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

function decodeText(published: Uint8Array | string): string | undefined {
  if (typeof published === 'string') return published;
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(published);
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
