/**
 * An engine's answers in the OpenAI-compatible protocol, streamed or whole.
 *
 * @module
 */
import type { AnswerStream } from './_answer_stream.js';
import { buildAnswerTokens } from './_prompt.js';
import type { Prompt } from './_prompt.js';

const MS_PER_SECOND = 1000;

/** Writes one completion into its stream. */
export class CompletionWriter {
  readonly #buildToken: (index: number) => string;

  readonly #created = Math.floor(Date.now() / MS_PER_SECOND);

  readonly #texts: string[] = [];

  /**
   * @param prompt - what is answered
   * @param stream - where to write
   */
  constructor(
    readonly prompt: Prompt,
    readonly stream: AnswerStream,
  ) {
    this.#buildToken = buildAnswerTokens(prompt.text);
  }

  /** @param index - number of the token that was decoded */
  writeToken(index: number): void {
    const content = this.#buildToken(index);
    if (!this.prompt.streamed) this.#texts.push(content);
    else {
      const delta = index === 0 ? { role: 'assistant', content } : { content };
      this.#writeEvent({ choices: [{ index: 0, delta, finish_reason: null }] });
    }
  }

  /** @param outputTokens - length of the answer, which is whole now */
  writeEnd(outputTokens: number): void {
    if (this.prompt.streamed) this.#writeStreamEnd(outputTokens);
    else this.#writeWhole(outputTokens);
    this.stream.close();
  }

  #writeStreamEnd(outputTokens: number): void {
    this.#writeEvent({ choices: [{ index: 0, delta: {}, finish_reason: 'stop' }] });
    if (this.prompt.includesUsage) {
      this.#writeEvent({ choices: [], usage: this.#buildUsage(outputTokens) });
    }
    this.stream.write(Buffer.from('data: [DONE]\n\n'));
  }

  #writeWhole(outputTokens: number): void {
    const message = { role: 'assistant', content: this.#texts.join('') };
    const answer = {
      ...this.#buildCommon('chat.completion'),
      choices: [{ index: 0, message, finish_reason: 'stop' }],
      usage: this.#buildUsage(outputTokens),
    };
    this.stream.write(Buffer.from(JSON.stringify(answer)));
  }

  #writeEvent(fields: object): void {
    const event = { ...this.#buildCommon('chat.completion.chunk'), ...fields };
    this.stream.write(Buffer.from(`data: ${JSON.stringify(event)}\n\n`));
  }

  #buildCommon(object: string): object {
    const { model } = this.prompt;
    return { id: `chatcmpl-${this.stream.id}`, object, created: this.#created, model };
  }

  #buildUsage(outputTokens: number): object {
    return {
      prompt_tokens: this.prompt.tokens,
      completion_tokens: outputTokens,
      total_tokens: this.prompt.tokens + outputTokens,
    };
  }
}
