/**
 * A plain client for the stand-ins' own tests.
 *
 * @module
 */
import { Agent, request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';

/** What is sent. */
export interface TestCall {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Keeps the connection for the next call. */
  readonly agent?: Agent;
}

/** A whole answer. */
export interface TestAnswer {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Whether the connection broke before the end. */
  readonly isBroken: boolean;
}

/** @returns an agent with one connection that is kept */
export function createSingleConnection(): Agent {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}

/** Opens a call and sends its head only. @param url - where to. @param call - what */
export function openCall(url: string, call: TestCall = {}): ClientRequest {
  const { method = 'GET', headers, agent } = call;
  const outgoing = request(url, { method, headers, agent: agent ?? new Agent() });
  outgoing.on('error', () => undefined);
  outgoing.flushHeaders();
  return outgoing;
}

/** Waits for an answer's head. @param outgoing - the open call */
export function waitHead(outgoing: ClientRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    outgoing.once('response', resolve);
    outgoing.once('error', reject);
  });
}

/** Reads an answer to its end or its break. @param response - the answer's head */
export function readAnswer(response: IncomingMessage): Promise<TestAnswer> {
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

/** Sends a whole call and reads its answer. @param url - where to. @param call - what */
export async function sendCall(url: string, call: TestCall = {}): Promise<TestAnswer> {
  const outgoing = openCall(url, call);
  outgoing.end(call.body);
  return readAnswer(await waitHead(outgoing));
}

/** Sends a call and parses the JSON answer. @param url - where to. @param call - what */
export async function sendJsonCall<T>(url: string, call: TestCall = {}): Promise<T> {
  return JSON.parse((await sendCall(url, call)).body) as T;
}

/** Orders a fault. @param url - the stand-in's base URL. @param fault - which */
export async function setFault(url: string, fault: object): Promise<void> {
  const body = JSON.stringify(fault);
  await sendCall(`${url}/_standin/faults`, { method: 'POST', body });
}
