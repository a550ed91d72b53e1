/**
 * One HTTP call of a caller: head first, then the body as it comes.
 *
 * @module
 */
import { Agent, request } from 'node:http';
import type { IncomingMessage } from 'node:http';

/** What is sent. */
export interface HttpCall {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Ends the call. */
  readonly signal: AbortSignal;
}

/** Connections are kept, one for each call that is on its way. */
const agent = new Agent({ keepAlive: true, maxSockets: Infinity });

/**
 * Sends a call.
 *
 * @param call - what to send
 * @returns the answer once its head is there
 * @throws Error when the connection fails before
 */
export function sendCall(call: HttpCall): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const { url, method, headers, body, signal } = call;
    const outgoing = request(url, { method, headers, agent, signal });
    outgoing.on('error', reject);
    outgoing.on('response', resolve);
    outgoing.end(body);
  });
}

/** A body, as far as it came. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  /** Whether the connection broke before the end. */
  readonly isBroken: boolean;
}

/**
 * Reads a body to its end or to its break.
 *
 * @param response - the answer
 * @param onFirstByte - called when the first bytes come
 * @returns what came
 */
export function readBody(
  response: IncomingMessage,
  onFirstByte: () => void = () => undefined,
): Promise<ReceivedBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => {
      if (chunks.length === 0) onFirstByte();
      chunks.push(chunk);
    });
    response.on('error', () => undefined);
    response.on('close', () => {
      resolve({ bytes: Buffer.concat(chunks), isBroken: !response.complete });
    });
  });
}
