/**
 * Scans an answer while it arrives and keeps counts instead of the text.
 *
 * @module
 */
/** Most characters of a non-streamed body that are kept; `finish()` reads only these last ones. */
const MAX_BUFFERED_CHARACTERS = 1_048_576;

/** Code and run outcome from an error answer. */
export interface ErrorAnswerBody {
  readonly code: string;
  readonly run: string | undefined;
}

/**
 * Scans one answer, also across resumptions. A stream is complete only after `[DONE]`: a
 * connection that ended cleanly may have been closed by a dying host, and the caller would take a
 * truncated answer for a complete one.
 */
export class AnswerScanner {
  /** Number of bytes of the answer's body received so far. */
  bytes = 0;

  /** Number of output tokens: events with content, or the tokens of a non-streamed answer. */
  outputTokens = 0;

  /** The error event of the stream, if there was one. */
  streamError: ErrorAnswerBody | undefined;

  /** Whether every token so far carried the expected mark and position. */
  #hasValidMarks = true;

  /** The incomplete last line of a stream, or the end of a non-streamed body. */
  #text = '';

  /** Whether `[DONE]` has arrived. */
  #isDone = false;

  /**
   * @param isStream - whether the answer is an event stream
   * @param mark - mark that the tokens must carry, as `mark.0 mark.1 …`; undefined: any answer
   *   is valid
   */
  constructor(
    private readonly isStream: boolean,
    private readonly mark?: string,
  ) {}

  /** @param chunk - the next chunk of the body */
  add(chunk: Buffer): void {
    this.bytes += chunk.length;
    this.#text += chunk.toString('latin1');
    if (this.isStream) this.#readLines();
    else if (this.#text.length > MAX_BUFFERED_CHARACTERS)
      this.#text = this.#text.slice(-MAX_BUFFERED_CHARACTERS);
  }

  /** @returns whether the answer is complete, given that its body ended cleanly */
  isComplete(): boolean {
    return this.isStream ? this.#isDone : true;
  }

  /** Counts the output tokens of a non-streamed answer. Call at the end of its body. */
  finish(): void {
    if (this.isStream) return;
    const content = /"content"\s*:\s*"([^"]*)"/.exec(this.#text)?.[1];
    if (this.mark !== undefined && content !== undefined) {
      content
        .trimEnd()
        .split(' ')
        .forEach((token) => this.#readToken(token));
      return;
    }
    const match = /"completion_tokens"\s*:\s*(\d+)/.exec(this.#text);
    if (match) this.outputTokens = Number(match[1]);
  }

  /**
   * @param outputTokens - number of tokens of the complete answer
   * @returns whether the answer belongs to this request and has all its tokens in order
   */
  isExpectedAnswer(outputTokens: number): boolean {
    return this.mark === undefined || (this.#hasValidMarks && this.outputTokens === outputTokens);
  }

  #readLines(): void {
    const lines = this.#text.split('\n');
    this.#text = lines.pop() ?? '';
    lines.forEach((line) => this.#readLine(line.trimEnd()));
  }

  #readLine(line: string): void {
    if (!line.startsWith('data:')) return;
    const data = line.slice('data:'.length).trim();
    if (data === '[DONE]') this.#isDone = true;
    else if (data.startsWith('{"error"')) this.streamError = parseErrorBody(data);
    else {
      const content = /"content"\s*:\s*"([^"]+)"/.exec(data)?.[1];
      if (content !== undefined) this.#readToken(content.trimEnd());
    }
  }

  #readToken(token: string): void {
    if (token !== `${this.mark}.${this.outputTokens}`) this.#hasValidMarks = false;
    this.outputTokens += 1;
  }
}

/**
 * Parses the code and the run outcome from an error body.
 *
 * @param text - the error body
 * @returns code and run outcome; the code is `unreadable` when the body has none
 */
export function parseErrorBody(text: string): ErrorAnswerBody {
  try {
    const { error } = JSON.parse(text) as { error?: { code?: string; run?: string } };
    return { code: error?.code ?? 'unreadable', run: error?.run };
  } catch {
    return { code: 'unreadable', run: undefined };
  }
}
