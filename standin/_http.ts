/**
 * Reading bodies and sending JSON, for every stand-in.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

/**
 * Reads a body whole.
 *
 * @param request - whose body
 * @returns the bytes
 * @throws Error when the sender goes before the end
 */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/**
 * Sends one JSON answer.
 *
 * @param response - where to
 * @param status - HTTP status
 * @param value - what to send
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
 * Parses a request's target.
 *
 * @param request - the request
 * @returns path and query
 */
export function parseTarget(request: IncomingMessage): URL {
  return new URL(request.url ?? '/', 'http://stand-in');
}

/**
 * Finds a header that must not be a list.
 *
 * @param request - the request
 * @param name - lower-case name
 * @returns its value; empty when absent
 */
export function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}
