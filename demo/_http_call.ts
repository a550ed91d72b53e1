/**
 * Sends HTTP calls, returning the response head first and its body separately.
 *
 * @module
 */
import { Agent, request } from 'node:http';
import type { IncomingMessage } from 'node:http';

/** An HTTP request to send. */
export interface HttpCall {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Aborts the call. */
  readonly signal: AbortSignal;
}

/** Reuses connections and opens one for each concurrent call without a limit. */
const agent = new Agent({ keepAlive: true, maxSockets: Infinity });

/**
 * Sends a call.
 *
 * @param call - the call to send
 * @returns the response as soon as its head has arrived
 * @throws Error when the connection fails before the head
 */
export function sendCall(call: HttpCall): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const { url, method, headers, body, signal } = call;
    const clientRequest = request(url, { method, headers, agent, signal });
    clientRequest.on('error', reject);
    clientRequest.on('response', resolve);
    clientRequest.end(body);
  });
}

/** The part of a response body that was received. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  /** Whether the connection broke before the body was complete. */
  readonly isBroken: boolean;
}

/**
 * Reads a response body until it is complete or its connection breaks.
 *
 * @param response - the response to read
 * @param onFirstByte - called when the first chunk arrives
 * @returns the received bytes
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
