/**
 * HTTP calls to the control endpoints of stand-ins and to the administration listeners of
 * entry hosts.
 *
 * @module
 */
import { request } from 'node:http';

const CONTROL_TIMEOUT_MS = 10_000;

/** Options of a control call. */
export interface ControlOptions {
  readonly method?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
}

/** Response to a control call. */
export interface ControlResponse {
  readonly status: number;
  readonly text: string;
}

/**
 * Sends one call on a new connection, since a pooled connection may have been silenced by an
 * injected fault.
 *
 * @param url - URL to call
 * @param options - method (GET by default), body and headers
 * @returns status and body of the response
 */
export function sendControl(url: string, options: ControlOptions = {}): Promise<ControlResponse> {
  return new Promise((resolve, reject) => {
    const call = request(url, {
      method: options.method ?? 'GET',
      headers: { connection: 'close', ...options.headers },
      agent: false,
      timeout: options.timeoutMs ?? CONTROL_TIMEOUT_MS,
    });
    call.on('timeout', () => call.destroy(new Error(`Call to ${url} timed out`)));
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
 * @param url - URL to call
 * @param options - see {@link sendControl}
 * @returns the parsed JSON body
 * @throws Error if the status is not 200
 */
export async function sendJsonControl<T>(url: string, options: ControlOptions = {}): Promise<T> {
  const { status, text } = await sendControl(url, options);
  if (status !== 200) throw new Error(`Call to ${url} failed: status ${status}, ${text}`);
  return JSON.parse(text) as T;
}
