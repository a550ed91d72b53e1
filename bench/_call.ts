/**
 * One timed HTTP call.
 *
 * @module
 */
import http from 'node:http';
import { performance } from 'node:perf_hooks';

/** What to send. */
export interface TimedCall {
  readonly url: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly agent: http.Agent;
  /** Longest time, in milliseconds. Default: 60 s. */
  readonly limitMs?: number;
}

/** What came back; times in milliseconds from the start of the call. */
export interface TimedAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  readonly firstByteMs: number;
  readonly totalMs: number;
}

const DEFAULT_LIMIT_MS = 60_000;

/**
 * Sends one call.
 *
 * @param call - what to send
 * @returns the answer, whatever its status
 * @throws Error when the connection breaks or the time is over
 */
export function sendTimed(call: TimedCall): Promise<TimedAnswer> {
  return new Promise((resolve, reject) => {
    const startMs = performance.now();
    const request = http.request(call.url, {
      method: call.method ?? 'GET',
      headers: call.headers,
      agent: call.agent,
      signal: AbortSignal.timeout(call.limitMs ?? DEFAULT_LIMIT_MS),
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
 * @param call - what to send
 * @returns the answer
 * @throws Error when its status is not 200
 */
export async function sendGood(call: TimedCall): Promise<TimedAnswer> {
  const answer = await sendTimed(call);
  if (answer.status !== 200) {
    throw new Error(`Cannot measure ${call.url}: ${answer.status} ${answer.text}`);
  }
  return answer;
}

/**
 * Creates an agent that keeps its connections.
 *
 * @returns the agent; it must be destroyed
 */
export function createAgent(): http.Agent {
  return new http.Agent({ keepAlive: true });
}
