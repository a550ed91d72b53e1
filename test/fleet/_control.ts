/**
 * Calls to the stand-ins' control surfaces and to administration listeners.
 *
 * @module
 */
import { request } from 'node:http';

const CONTROL_TIMEOUT_MS = 10_000;

/** What a control call sends. */
export interface ControlOptions {
  readonly method?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
}

/** Answer of a control call. */
export interface ControlAnswer {
  readonly status: number;
  readonly text: string;
}

/**
 * Sends one call on a connection of its own, so that no kept connection which
 * a fault has silenced is used again.
 *
 * @param url - where to
 * @param options - method (GET by default), body and headers
 * @returns status and body
 */
export function sendControl(url: string, options: ControlOptions = {}): Promise<ControlAnswer> {
  return new Promise((resolve, reject) => {
    const call = request(url, {
      method: options.method ?? 'GET',
      headers: { connection: 'close', ...options.headers },
      agent: false,
      timeout: options.timeoutMs ?? CONTROL_TIMEOUT_MS,
    });
    call.on('timeout', () => call.destroy(new Error(`Cannot read ${url}: no answer in time`)));
    call.on('error', reject);
    call.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', reject);
      response.on('end', () => {
        resolve({ status: response.statusCode ?? 0, text: Buffer.concat(chunks).toString() });
      });
    });
    call.end(options.body);
  });
}

/**
 * Sends a control call that must succeed.
 *
 * @param url - where to
 * @param options - see {@link sendControl}
 * @returns the parsed JSON body
 * @throws Error when the status is not 200
 */
export async function sendJsonControl<T>(url: string, options: ControlOptions = {}): Promise<T> {
  const { status, text } = await sendControl(url, options);
  if (status !== 200) throw new Error(`Cannot use ${url}: status ${status}, ${text}`);
  return JSON.parse(text) as T;
}
