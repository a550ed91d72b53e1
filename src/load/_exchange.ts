/**
 * One HTTP exchange of the load tool.
 *
 * @module
 */
import http from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import { AnswerScanner, parseErrorBody } from './_answer_scan.js';
import type { ErrorAnswerBody } from './_answer_scan.js';

const FIRST_NON_SUCCESS_STATUS = 300;

/** What to send. */
export interface ExchangeCall {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | undefined;
  readonly agent: http.Agent;
  /** Ends the exchange when the caller gives up. */
  readonly signal: AbortSignal;
  /** What each token of the answer must name; undefined takes any answer. */
  readonly mark?: string;
  /** A scan to go on with, when an answer is resumed. */
  readonly scan?: AnswerScanner;
  /** Called with the head of a successful answer. */
  readonly onHead?: (headers: IncomingHttpHeaders, scan: AnswerScanner) => void;
  /** Called at the first byte of a successful answer's body. */
  readonly onFirstByte?: () => void;
}

/** What came back. */
export interface ExchangeResult {
  /** 0 when no head came. */
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly scan: AnswerScanner | undefined;
  /** The body of an error answer. */
  readonly error: ErrorAnswerBody | undefined;
  /** Small bodies that are no answers of a backend server. */
  readonly text: string;
  /** Whether the body ended in good order. */
  readonly isBodyComplete: boolean;
  /** Why the connection broke, such as ECONNREFUSED. */
  readonly cause: string | undefined;
}

/**
 * Sends one call and reads its answer to the end, or to where it breaks off.
 *
 * @param call - what to send
 * @returns what came back; never rejects
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

/** Called when an exchange is over. */
type ExchangeDone = (result: ExchangeResult) => void;

function readResponse(
  call: ExchangeCall,
  response: http.IncomingMessage,
  onDone: ExchangeDone,
): void {
  const status = response.statusCode ?? 0;
  const isSuccess = status < FIRST_NON_SUCCESS_STATUS;
  const scan = isSuccess
    ? (call.scan ?? new AnswerScanner(isEventStream(response.headers), call.mark))
    : undefined;
  if (scan) call.onHead?.(response.headers, scan);
  let text = '';
  response.on('data', (chunk: Buffer) => {
    if (scan && scan.bytes === 0) call.onFirstByte?.();
    scan?.add(chunk);
    if (!scan || !isEventStream(response.headers)) text += chunk.toString('latin1');
  });
  let isFinished = false;
  const finish = (isBodyComplete: boolean, cause?: string): void => {
    if (isFinished) return;
    isFinished = true;
    if (isBodyComplete) scan?.finish();
    const error = isSuccess ? undefined : parseErrorBody(text);
    onDone({
      status,
      headers: response.headers,
      scan,
      error,
      text,
      isBodyComplete: isBodyComplete,
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
    scan: undefined,
    error: undefined,
    text: '',
    isBodyComplete: false,
    cause,
  };
}
