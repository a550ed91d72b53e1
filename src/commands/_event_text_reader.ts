/**
 * The text in a streamed chat completion.
 *
 * @module
 */
import * as z from 'zod';

const DATA_FIELD = 'data: ';
const EVENT_END = '\n\n';

const chunkSchema = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().nullish() }) })),
});

function parseContent(event: string): string {
  if (!event.startsWith(DATA_FIELD)) return '';
  try {
    const chunk = chunkSchema.safeParse(JSON.parse(event.slice(DATA_FIELD.length)));
    return chunk.data?.choices.map(({ delta }) => delta.content ?? '').join('') ?? '';
  } catch {
    // The last event says [DONE], which is no JSON.
    return '';
  }
}

/** Takes the generated text out of a stream of chunks. */
export class EventTextReader {
  readonly #decoder = new TextDecoder();

  #held = '';

  /**
   * @param bytes - the next bytes of the stream
   * @returns the text that they complete
   */
  read(bytes: Uint8Array): string {
    const events = (this.#held + this.#decoder.decode(bytes, { stream: true })).split(EVENT_END);
    this.#held = events.pop() ?? '';
    return events.map(parseContent).join('');
  }
}
