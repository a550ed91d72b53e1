/**
 * Sends HTTP calls and measures their response times.
 *
 * @module
 */
import http from 'node:http';
import { performance } from 'node:perf_hooks';

/** An HTTP call to send. */
export interface TimedCall {
  readonly url: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly agent: http.Agent;
  /** Timeout in milliseconds. Default: 60 s. */
  readonly limitMs?: number;
}

/** A response with its times in milliseconds since the start of the call. */
export interface TimedResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  readonly firstByteMs: number;
  readonly totalMs: number;
}

const DEFAULT_TIMEOUT_MS = 60_000;

/**
 * Sends one call.
 *
 * @param call - the call to send
 * @returns the response with any status
 * @throws Error when the connection breaks or the timeout expires
 */
export function sendTimed(call: TimedCall): Promise<TimedResponse> {
  return new Promise((resolve, reject) => {
    const startMs = performance.now();
    const request = http.request(call.url, {
      method: call.method ?? 'GET',
      headers: call.headers,
      agent: call.agent,
      signal: AbortSignal.timeout(call.limitMs ?? DEFAULT_TIMEOUT_MS),
    });
    request.on('error', reject);
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      let firstByteMs = 0;
      response.on('data', (chunk: Buffer) => {
        if (firstByteMs === 0) firstByteMs = performance.now() - startMs;
        chunks.push(chunk);
      });
      response.on('error', reject);
      response.on('end', () => {
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          text: Buffer.concat(chunks).toString(),
          firstByteMs,
          totalMs: performance.now() - startMs,
        });
      });
    });
    request.end(call.body);
  });
}

/**
 * Sends one call that must succeed.
 *
 * @param call - the call to send
 * @returns the response
 * @throws Error when its status is not 200
 */
export async function sendExpectingOk(call: TimedCall): Promise<TimedResponse> {
  const response = await sendTimed(call);
  if (response.status !== 200) {
    throw new Error(`Cannot measure ${call.url}: ${response.status} ${response.text}`);
  }
  return response;
}

/**
 * Creates an agent that reuses its connections.
 *
 * @returns the agent; the caller must destroy it
 */
export function createAgent(): http.Agent {
  return new http.Agent({ keepAlive: true });
}
