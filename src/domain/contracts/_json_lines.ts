/**
 * Finds the lines of a JSON text on which fields stand. The values themselves
 * come from `JSON.parse`, which doesn't tell where they stood.
 *
 * @module
 */
import { MAX_DOCUMENT_DEPTH } from './document_bounds.js';

/** Path of a field: property names and list positions. */
export type FieldPath = readonly PropertyKey[];

/** The text is no JSON, is nested too deeply or names a property twice. */
export interface TextFault {
  readonly line: number;
  readonly path: FieldPath;
  readonly message: string;
}

/** Lines of a text's fields. */
export interface JsonLines {
  readonly faults: readonly TextFault[];
  /** Finds a field's line; for a field that is missing, that of the nearest one around it. */
  readonly findLine: (path: FieldPath) => number;
}

const SPACE = /[ \t\r\n]*/y;

const TOKENS = [
  /[{}[\],:]/y,
  /"(?:[^"\\\p{Cc}]|[\u007f-\u009f]|\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4}))*"/uy,
  /-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?/y,
  /true|false|null/y,
];

function findAt(pattern: RegExp, text: string, offset: number): string | undefined {
  const sticky = pattern;
  sticky.lastIndex = offset;
  return sticky.exec(text)?.[0];
}

/** Ends a walk at the first fault that leaves no way to go on. */
class WalkStopped extends Error {}

class JsonWalker {
  readonly faults: TextFault[] = [];

  readonly offsets = new Map<string, number>();

  #offset = 0;

  constructor(
    private readonly text: string,
    private readonly getLine: (offset: number) => number,
  ) {}

  read(): void {
    try {
      this.#readValue([], this.#takeToken());
      if (this.text.slice(this.#offset).trim() !== '') this.#stop('has text after its end');
    } catch (error) {
      if (!(error instanceof WalkStopped)) throw error;
    }
  }

  #readValue(path: FieldPath, token: string): void {
    if (!this.offsets.has(buildPathKey(path))) {
      this.offsets.set(buildPathKey(path), this.#offset - token.length);
    }
    if (path.length > MAX_DOCUMENT_DEPTH) this.#stop('is nested too deeply');
    if (token === '{') this.#readObject(path);
    else if (token === '[') this.#readList(path);
    else if (/^[}\],:]$/.test(token)) this.#stop(`is no JSON: "${token}" where a value should be`);
  }

  #readObject(path: FieldPath): void {
    const names = new Set<string>();
    let token = this.#takeToken();
    while (token !== '}') {
      if (!token.startsWith('"')) this.#stop('is no JSON: a property name should be here');
      const name = JSON.parse(token) as string;
      const child = [...path, name];
      if (names.has(name)) this.#note(child, 'is there twice');
      names.add(name);
      this.offsets.set(buildPathKey(child), this.#offset - token.length);
      if (this.#takeToken() !== ':') this.#stop('is no JSON: ":" should be here');
      this.#readValue(child, this.#takeToken());
      token = this.#takeSeparator('}');
    }
  }

  #readList(path: FieldPath): void {
    let token = this.#takeToken();
    for (let position = 0; token !== ']'; position += 1) {
      this.#readValue([...path, position], token);
      token = this.#takeSeparator(']');
    }
  }

  /** Takes `,` and the token after it, or the closing bracket. */
  #takeSeparator(close: string): string {
    const token = this.#takeToken();
    if (token === close) return token;
    if (token !== ',') this.#stop(`is no JSON: "," or "${close}" should be here`);
    const next = this.#takeToken();
    if (next === close) this.#stop(`is no JSON: "," right before "${close}"`);
    return next;
  }

  #takeToken(): string {
    this.#offset += findAt(SPACE, this.text, this.#offset)?.length ?? 0;
    const pattern = TOKENS.find((one) => findAt(one, this.text, this.#offset) !== undefined);
    const token = pattern && findAt(pattern, this.text, this.#offset);
    if (token === undefined) return this.#stop(this.#formatRest());
    this.#offset += token.length;
    return token;
  }

  #formatRest(): string {
    const isOver = this.#offset >= this.text.length;
    return isOver ? 'is no JSON: it ends too early' : 'is no JSON: unexpected text';
  }

  #note(path: FieldPath, message: string): void {
    this.faults.push({ line: this.getLine(this.#offset), path, message });
  }

  #stop(message: string): never {
    this.#note([], message);
    throw new WalkStopped(message);
  }
}

function buildPathKey(path: FieldPath): string {
  return JSON.stringify(path);
}

function buildLineFinder(text: string): (offset: number) => number {
  const starts = [0];
  for (let at = text.indexOf('\n'); at >= 0; at = text.indexOf('\n', at + 1)) starts.push(at + 1);
  return (offset) => {
    let low = 0;
    let high = starts.length;
    while (high - low > 1) {
      const middle = Math.floor((low + high) / 2);
      if ((starts[middle] ?? 0) <= offset) low = middle;
      else high = middle;
    }
    return low + 1;
  };
}

/**
 * Reads where the fields of a JSON text stand.
 *
 * @param text - the published text
 * @returns the lines, and the faults of the text itself
 */
export function readJsonLines(text: string): JsonLines {
  const getLine = buildLineFinder(text);
  const walker = new JsonWalker(text, getLine);
  walker.read();
  return {
    faults: walker.faults,
    findLine: (path) => {
      const nearest = path
        .map((_, at) => walker.offsets.get(buildPathKey(path.slice(0, path.length - at))))
        .find((offset) => offset !== undefined);
      return getLine(nearest ?? walker.offsets.get(buildPathKey([])) ?? 0);
    },
  };
}
