/**
 * Writes the responses of a stand-in engine in the OpenAI-compatible protocol, either
 * streamed or as one JSON document.
 *
 * @module
 */
import type { AnswerStream } from './_answer_stream.js';
import { createTokenBuilder } from './_prompt.js';
import type { Prompt } from './_prompt.js';

const MS_PER_SECOND = 1000;

/** Writes one chat completion into an answer stream. */
export class CompletionWriter {
  readonly #buildToken: (index: number) => string;

  readonly #created = Math.floor(Date.now() / MS_PER_SECOND);

  readonly #texts: string[] = [];

  /**
   * @param prompt - the prompt to answer
   * @param stream - the stream to write to
   */
  constructor(
    readonly prompt: Prompt,
    readonly stream: AnswerStream,
  ) {
    this.#buildToken = createTokenBuilder(prompt.text);
  }

  /** Writes one decoded token. @param index - index of the token in the answer, from 0 */
  writeToken(index: number): void {
    const content = this.#buildToken(index);
    if (!this.prompt.isStreaming) this.#texts.push(content);
    else {
      const delta = index === 0 ? { role: 'assistant', content } : { content };
      this.#writeEvent({ choices: [{ index: 0, delta, finish_reason: null }] });
    }
  }

  /** Writes the end of the response. @param outputTokens - length of the answer in tokens */
  writeEnd(outputTokens: number): void {
    if (this.prompt.isStreaming) this.#writeStreamEnd(outputTokens);
    else this.#writeDocument(outputTokens);
    this.stream.close();
  }

  #writeStreamEnd(outputTokens: number): void {
    this.#writeEvent({ choices: [{ index: 0, delta: {}, finish_reason: 'stop' }] });
    if (this.prompt.mustIncludeUsage) {
      this.#writeEvent({ choices: [], usage: this.#buildUsage(outputTokens) });
    }
    this.stream.write(Buffer.from('data: [DONE]\n\n'));
  }

  #writeDocument(outputTokens: number): void {
    const message = { role: 'assistant', content: this.#texts.join('') };
    const answer = {
      ...this.#buildCommonFields('chat.completion'),
      choices: [{ index: 0, message, finish_reason: 'stop' }],
      usage: this.#buildUsage(outputTokens),
    };
    this.stream.write(Buffer.from(JSON.stringify(answer)));
  }

  #writeEvent(fields: object): void {
    const event = { ...this.#buildCommonFields('chat.completion.chunk'), ...fields };
    this.stream.write(Buffer.from(`data: ${JSON.stringify(event)}\n\n`));
  }

  #buildCommonFields(object: string): object {
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
