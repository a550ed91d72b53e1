/**
 * Finds the line number of each field in a JSON text. `JSON.parse` provides the
 * values, but not their positions.
 *
 * @module
 */
import { MAX_DOCUMENT_DEPTH } from './document_bounds.js';

/** Path of a field: property names and list indices. */
export type FieldPath = readonly PropertyKey[];

/** A fault of the text itself: invalid JSON, excessive nesting or a duplicate property. */
export interface TextFault {
  /** Line number, from 1. */
  readonly line: number;
  /** Path of the duplicate property; empty if the text can't be read to its end. */
  readonly path: FieldPath;
  readonly message: string;
}

/** Line numbers of the fields of a JSON text, and the faults of the text itself. */
export interface FieldLocations {
  readonly faults: readonly TextFault[];
  /** Finds the line of a field; for a missing field, that of its nearest enclosing field. */
  readonly findLine: (path: FieldPath) => number;
}

const WHITESPACE = /[ \t\r\n]*/y;

const TOKEN_PATTERNS = [
  /[{}[\],:]/y,
  /"(?:[^"\\\p{Cc}]|[\u007f-\u009f]|\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4}))*"/uy,
  /-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?/y,
  /true|false|null/y,
];

function matchAt(pattern: RegExp, text: string, offset: number): string | undefined {
  const sticky = pattern;
  sticky.lastIndex = offset;
  return sticky.exec(text)?.[0];
}

/** Thrown to abort the scan at a fault after which the text can't be read further. */
class ScanAborted extends Error {}

class JsonScanner {
  readonly faults: TextFault[] = [];

  readonly offsets = new Map<string, number>();

  #offset = 0;

  constructor(
    private readonly text: string,
    private readonly getLine: (offset: number) => number,
  ) {}

  read(): void {
    try {
      this.#scanValue([], this.#readToken());
      if (this.text.slice(this.#offset).trim() !== '')
        this.#abort('has text after the end of the document');
    } catch (error) {
      if (!(error instanceof ScanAborted)) throw error;
    }
  }

  #scanValue(path: FieldPath, token: string): void {
    if (!this.offsets.has(buildPathKey(path))) {
      this.offsets.set(buildPathKey(path), this.#offset - token.length);
    }
    if (path.length > MAX_DOCUMENT_DEPTH) this.#abort('is nested too deeply');
    if (token === '{') this.#scanObject(path);
    else if (token === '[') this.#scanList(path);
    else if (/^[}\],:]$/.test(token))
      this.#abort(`is not valid JSON: expected a value, found "${token}"`);
  }

  #scanObject(path: FieldPath): void {
    const seenNames = new Set<string>();
    let token = this.#readToken();
    while (token !== '}') {
      if (!token.startsWith('"')) this.#abort('is not valid JSON: expected a property name');
      const name = JSON.parse(token) as string;
      const childPath = [...path, name];
      if (seenNames.has(name)) this.#addFault(childPath, 'is a duplicate');
      seenNames.add(name);
      this.offsets.set(buildPathKey(childPath), this.#offset - token.length);
      if (this.#readToken() !== ':') this.#abort('is not valid JSON: expected ":"');
      this.#scanValue(childPath, this.#readToken());
      token = this.#readSeparator('}');
    }
  }

  #scanList(path: FieldPath): void {
    let token = this.#readToken();
    for (let index = 0; token !== ']'; index += 1) {
      this.#scanValue([...path, index], token);
      token = this.#readSeparator(']');
    }
  }

  /** Reads `,` and returns the token after it, or returns the closing bracket. */
  #readSeparator(close: string): string {
    const token = this.#readToken();
    if (token === close) return token;
    if (token !== ',') this.#abort(`is not valid JSON: expected "," or "${close}"`);
    const next = this.#readToken();
    if (next === close) this.#abort(`is not valid JSON: unexpected "," before "${close}"`);
    return next;
  }

  #readToken(): string {
    this.#offset += matchAt(WHITESPACE, this.text, this.#offset)?.length ?? 0;
    const pattern = TOKEN_PATTERNS.find(
      (candidate) => matchAt(candidate, this.text, this.#offset) !== undefined,
    );
    const token = pattern && matchAt(pattern, this.text, this.#offset);
    if (token === undefined) return this.#abort(this.#describeUnexpectedText());
    this.#offset += token.length;
    return token;
  }

  #describeUnexpectedText(): string {
    const isAtEnd = this.#offset >= this.text.length;
    return isAtEnd ? 'is not valid JSON: unexpected end' : 'is not valid JSON: unexpected text';
  }

  #addFault(path: FieldPath, message: string): void {
    this.faults.push({ line: this.getLine(this.#offset), path, message });
  }

  #abort(message: string): never {
    this.#addFault([], message);
    throw new ScanAborted(message);
  }
}

function buildPathKey(path: FieldPath): string {
  return JSON.stringify(path);
}

function buildLineFinder(text: string): (offset: number) => number {
  const lineStarts = [0];
  for (let newline = text.indexOf('\n'); newline >= 0; newline = text.indexOf('\n', newline + 1))
    lineStarts.push(newline + 1);
  return (offset) => {
    let low = 0;
    let high = lineStarts.length;
    while (high - low > 1) {
      const middle = Math.floor((low + high) / 2);
      if ((lineStarts[middle] ?? 0) <= offset) low = middle;
      else high = middle;
    }
    return low + 1;
  };
}

/**
 * Scans a JSON text for the line numbers of its fields.
 *
 * @param text - the published text
 * @returns the line numbers, and the faults of the text itself
 */
export function locateFields(text: string): FieldLocations {
  const getLine = buildLineFinder(text);
  const scanner = new JsonScanner(text, getLine);
  scanner.read();
  return {
    faults: scanner.faults,
    findLine: (path) => {
      const nearestOffset = path
        .map((_, droppedCount) =>
          scanner.offsets.get(buildPathKey(path.slice(0, path.length - droppedCount))),
        )
        .find((offset) => offset !== undefined);
      return getLine(nearestOffset ?? scanner.offsets.get(buildPathKey([])) ?? 0);
    },
  };
}
