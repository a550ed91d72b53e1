/**
 * Encodes and decodes small JSON answers that entry hosts forward to each other.
 *
 * @module
 */
import type { ForwardedAnswer } from '../forwarding/mod.js';

const MAX_JSON_BYTES = 65_536;

/**
 * @param value - value to encode
 * @returns an answer for a peer, with the value as its JSON body
 */
export function buildJsonAnswer(value: object): ForwardedAnswer {
  return {
    head: { status: 200, headers: { 'content-type': 'application/json' }, isFramed: true },
    body: yieldChunk(Buffer.from(JSON.stringify(value))),
  };
}

/**
 * @param body - body of a peer's answer
 * @returns the decoded value
 * @throws Error when the body is too long or not valid JSON
 */
export async function readJsonBody<T>(body: AsyncIterable<Uint8Array>): Promise<T> {
  const chunks: Uint8Array[] = [];
  let length = 0;
  for await (const chunk of body) {
    chunks.push(chunk);
    length += chunk.length;
    if (length > MAX_JSON_BYTES) throw new Error("Cannot read the peer's answer: it is too long");
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8')) as T;
}

async function* yieldChunk(bytes: Uint8Array): AsyncGenerator<Uint8Array> {
  yield bytes;
}
