/**
 * Looks through an answer as it comes, keeping counts and not the text.
 *
 * @module
 */
const MAX_BUFFERED_CHARACTERS = 1_048_576;

/** What an error answer says. */
export interface ErrorAnswerBody {
  readonly code: string;
  readonly run: string | undefined;
}

/**
 * Scans one answer over all its parts. A stream is whole only when `[DONE]`
 * came: a connection that merely ended in good order may have been cut by a
 * host that died, and the caller would take half an answer for all of it.
 */
export class AnswerScanner {
  /** Bytes of the answer's body so far. */
  bytes = 0;

  /** Events of a stream that carried output. */
  outputTokens = 0;

  /** The error event inside a stream, if one came. */
  streamError: ErrorAnswerBody | undefined;

  /** Whether each marked token so far bore the wanted mark, in order. */
  #hasExpectedMarks = true;

  #text = '';

  #isDone = false;

  /**
   * @param isStream - whether the answer is an event stream
   * @param mark - what each token must name, as `mark.0 mark.1 …`; undefined takes any answer
   */
  constructor(
    private readonly isStream: boolean,
    private readonly mark?: string,
  ) {}

  /** @param chunk - the next bytes of the body */
  add(chunk: Buffer): void {
    this.bytes += chunk.length;
    this.#text += chunk.toString('latin1');
    if (this.isStream) this.#readLines();
    else if (this.#text.length > MAX_BUFFERED_CHARACTERS)
      this.#text = this.#text.slice(-MAX_BUFFERED_CHARACTERS);
  }

  /** @returns whether the answer is whole, once its body has ended in good order */
  isComplete(): boolean {
    return this.isStream ? this.#isDone : true;
  }

  /** Counts the output of an answer that came in one piece. */
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
   * @param outputTokens - how many tokens the whole answer has
   * @returns whether it is the answer to this very request, untorn
   */
  isExpectedAnswer(outputTokens: number): boolean {
    return (
      this.mark === undefined || (this.#hasExpectedMarks && this.outputTokens === outputTokens)
    );
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
    if (token !== `${this.mark}.${this.outputTokens}`) this.#hasExpectedMarks = false;
    this.outputTokens += 1;
  }
}

/**
 * Reads the code and the word on the run from an error's body.
 *
 * @param text - the body
 * @returns what it says; code `unreadable` when it is no error of the table
 */
export function parseErrorBody(text: string): ErrorAnswerBody {
  try {
    const { error } = JSON.parse(text) as { error?: { code?: string; run?: string } };
    return { code: error?.code ?? 'unreadable', run: error?.run };
  } catch {
    return { code: 'unreadable', run: undefined };
  }
}
