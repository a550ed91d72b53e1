/**
 * Extracts the generated text from a streamed chat completion.
 *
 * @module
 */
import * as z from 'zod';

const DATA_FIELD = 'data: ';
const EVENT_SEPARATOR = '\n\n';

const chunkSchema = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().nullish() }) })),
});

function parseContent(event: string): string {
  if (!event.startsWith(DATA_FIELD)) return '';
  try {
    const chunk = chunkSchema.safeParse(JSON.parse(event.slice(DATA_FIELD.length)));
    return chunk.data?.choices.map(({ delta }) => delta.content ?? '').join('') ?? '';
  } catch {
    // The last event holds the marker [DONE], which isn't JSON.
    return '';
  }
}

/** Decodes server-sent events piece by piece and returns the text that they contain. */
export class EventTextReader {
  readonly #decoder = new TextDecoder();

  #partialEvent = '';

  /**
   * Reads the next bytes of the stream and buffers an incomplete event at their end.
   *
   * @param bytes - next bytes of the stream
   * @returns text of the events that these bytes complete
   */
  read(bytes: Uint8Array): string {
    const events = (this.#partialEvent + this.#decoder.decode(bytes, { stream: true })).split(
      EVENT_SEPARATOR,
    );
    this.#partialEvent = events.pop() ?? '';
    return events.map(parseContent).join('');
  }
}
