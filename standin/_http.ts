/**
 * HTTP helpers that all stand-ins share: reading bodies and headers, and sending JSON.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

/**
 * Reads the complete body of a request.
 *
 * @param request - the request
 * @returns the bytes of the body
 * @throws Error if the sender disconnects before the end of the body
 */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/**
 * Sends a JSON response.
 *
 * @param response - response to write to
 * @param status - HTTP status
 * @param value - value of the body
 */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(body.length),
  });
  response.end(body);
}

/**
 * Parses the target of a request.
 *
 * @param request - the request
 * @returns a URL with the request's path and query
 */
export function parseTarget(request: IncomingMessage): URL {
  return new URL(request.url ?? '/', 'http://stand-in');
}

/**
 * Returns the value of a header that may occur only once.
 *
 * @param request - the request
 * @param name - header name in lower case
 * @returns the value; empty if the header is absent
 */
export function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}
