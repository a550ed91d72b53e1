/**
 * Error answers on connections whose request never got as far as a handler.
 *
 * @module
 */
import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import { buildErrorBody, ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { buildErrorHeaders } from './error_answer.js';

/** How long the connection stays open for the answer to be read. */
const LINGER_MS = 250;

const KIND_BY_PARSER_CODE: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: ErrorKind.HeaderTooLarge,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: ErrorKind.BodyTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: ErrorKind.RequestTimeout,
};

/**
 * Makes an error of the closed list out of an error of the HTTP parser.
 *
 * @param error - what the parser raised
 * @returns the refusal
 */
export function toParserRefusal(error: NodeJS.ErrnoException): SchedulerError {
  const kind = KIND_BY_PARSER_CODE[error.code ?? ''] ?? ErrorKind.MalformedRequest;
  return new SchedulerError(kind, {
    message: `Cannot take the request: ${kind.replaceAll('_', ' ')}`,
    cause: error,
  });
}

/**
 * Writes an error onto a bare connection and closes it.
 *
 * @param socket - the connection
 * @param refusal - the error
 */
export function closeWithRefusal(socket: Duplex, refusal: SchedulerError): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const body = JSON.stringify(buildErrorBody(refusal));
  const headers = Object.entries({
    ...buildErrorHeaders(refusal),
    'content-length': String(Buffer.byteLength(body)),
    connection: 'close',
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  const { status } = refusal;
  socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n${headers.join('')}\r\n${body}`);
  setTimeout(() => socket.destroy(), LINGER_MS).unref();
}
