/**
 * Performs one HTTP exchange of the load tool.
 *
 * @module
 */
import http from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import { AnswerScanner, parseErrorBody } from './_answer_scanner.js';
import type { ErrorAnswerBody } from './_answer_scanner.js';

const FIRST_NON_SUCCESS_STATUS = 300;

/** The request to send, and callbacks for its answer. */
export interface ExchangeCall {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | undefined;
  readonly agent: http.Agent;
  /** Aborts the exchange when the caller stops waiting. */
  readonly signal: AbortSignal;
  /** Mark that each token of the answer must carry; undefined: any answer is valid. */
  readonly mark?: string;
  /** The scanner to continue with when an answer is resumed. */
  readonly scanner?: AnswerScanner;
  /** Called with the head of a successful answer. */
  readonly onHead?: (headers: IncomingHttpHeaders, scanner: AnswerScanner) => void;
  /** Called at the first byte of a successful answer's body. */
  readonly onFirstByte?: () => void;
}

/** The answer, or as much of it as arrived. */
export interface ExchangeResult {
  /** HTTP status; 0 when no head arrived. */
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly scanner: AnswerScanner | undefined;
  /** The error of an unsuccessful answer. */
  readonly error: ErrorAnswerBody | undefined;
  /** The body, unless it is a successful event stream. */
  readonly text: string;
  /** Whether the body ended cleanly. */
  readonly ended: boolean;
  /** Why the connection broke, such as `ECONNREFUSED`. */
  readonly cause: string | undefined;
}

/**
 * Sends one call and reads its answer until it ends or breaks off.
 *
 * @param call - the request to send
 * @returns the result; never rejects
 */
export function sendExchange(call: ExchangeCall): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    const request = http.request(call.url, {
      method: call.method,
      headers: call.headers,
      agent: call.agent,
      signal: call.signal,
    });
    request.on('response', (response) => readResponse(call, response, resolve));
    request.on('error', (error: NodeJS.ErrnoException) => {
      resolve(buildBrokenResult(error.code ?? error.name));
    });
    request.end(call.body);
  });
}

/** Receives the result of an exchange. */
type ExchangeDone = (result: ExchangeResult) => void;

function readResponse(
  call: ExchangeCall,
  response: http.IncomingMessage,
  onDone: ExchangeDone,
): void {
  const status = response.statusCode ?? 0;
  const isSuccess = status < FIRST_NON_SUCCESS_STATUS;
  const scanner = isSuccess
    ? (call.scanner ?? new AnswerScanner(isEventStream(response.headers), call.mark))
    : undefined;
  if (scanner) call.onHead?.(response.headers, scanner);
  let text = '';
  response.on('data', (chunk: Buffer) => {
    if (scanner && scanner.bytes === 0) call.onFirstByte?.();
    scanner?.add(chunk);
    if (!scanner || !isEventStream(response.headers)) text += chunk.toString('latin1');
  });
  let isFinished = false;
  const finish = (isBodyComplete: boolean, cause?: string): void => {
    if (isFinished) return;
    isFinished = true;
    if (isBodyComplete) scanner?.finish();
    const error = isSuccess ? undefined : parseErrorBody(text);
    onDone({
      status,
      headers: response.headers,
      scanner,
      error,
      text,
      ended: isBodyComplete,
      cause,
    });
  };
  response.on('end', () => finish(response.complete));
  response.on('error', (error: NodeJS.ErrnoException) => finish(false, error.code ?? error.name));
  response.on('close', () => finish(response.complete, 'closed'));
}

function isEventStream(headers: IncomingHttpHeaders): boolean {
  return (headers['content-type'] ?? '').startsWith('text/event-stream');
}

function buildBrokenResult(cause: string): ExchangeResult {
  return {
    status: 0,
    headers: {},
    scanner: undefined,
    error: undefined,
    text: '',
    ended: false,
    cause,
  };
}
