/**
 * HTTP client for the tests of the stand-ins.
 *
 * @module
 */
import { Agent, request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';

/** Options of a request. */
export interface TestCall {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Agent whose connection is reused for the next call; by default each call opens its own. */
  readonly agent?: Agent;
}

/** A response that was read to its end or to the break of its connection. */
export interface TestResponse {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Whether the connection broke before the end. */
  readonly isBroken: boolean;
}

/** @returns an agent with a single persistent connection */
export function createSingleConnection(): Agent {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}

/** Opens a request and sends only its head. @param url - target. @param call - its options */
export function openCall(url: string, call: TestCall = {}): ClientRequest {
  const { method = 'GET', headers, agent } = call;
  const outgoing = request(url, { method, headers, agent: agent ?? new Agent() });
  outgoing.on('error', () => undefined);
  outgoing.flushHeaders();
  return outgoing;
}

/** Waits for the head of the response. @param outgoing - the open request */
export function waitForHead(outgoing: ClientRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    outgoing.once('response', resolve);
    outgoing.once('error', reject);
  });
}

/** Reads a response until it ends or its connection breaks. @param response - the response */
export function readResponse(response: IncomingMessage): Promise<TestResponse> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.on('error', () => undefined);
    response.on('close', () => {
      resolve({
        status: response.statusCode ?? 0,
        headers: response.headers,
        body: Buffer.concat(chunks).toString(),
        isBroken: !response.complete,
      });
    });
  });
}

/** Sends a request and reads its response. @param url - target. @param call - its options */
export async function sendCall(url: string, call: TestCall = {}): Promise<TestResponse> {
  const outgoing = openCall(url, call);
  outgoing.end(call.body);
  return readResponse(await waitForHead(outgoing));
}

/** Sends a request and parses the JSON response. @param url - target. @param call - its options */
export async function sendJsonCall<T>(url: string, call: TestCall = {}): Promise<T> {
  return JSON.parse((await sendCall(url, call)).body) as T;
}

/** Injects a fault. @param url - base URL of the stand-in. @param fault - body to send */
export async function setFault(url: string, fault: object): Promise<void> {
  const body = JSON.stringify(fault);
  await sendCall(`${url}/_standin/faults`, { method: 'POST', body });
}
