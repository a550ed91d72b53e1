/**
 * Small JSON answers over the forwarding of peers.
 *
 * @module
 */
import type { ForwardedAnswer } from '../forwarding/mod.js';

const MAX_JSON_BYTES = 65_536;

/**
 * @param value - what to say
 * @returns it as an answer for a peer
 */
export function toJsonAnswer(value: object): ForwardedAnswer {
  return {
    head: { status: 200, headers: { 'content-type': 'application/json' } },
    body: toChunks(Buffer.from(JSON.stringify(value))),
  };
}

/**
 * @param body - a body that a peer sent
 * @returns its value
 * @throws Error when it is too long or no JSON
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

async function* toChunks(bytes: Uint8Array): AsyncGenerator<Uint8Array> {
  yield bytes;
}
