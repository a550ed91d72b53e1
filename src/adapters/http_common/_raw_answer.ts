/**
 * Sends error answers on connections whose request reached no handler.
 *
 * @module
 */
import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import { buildErrorBody, ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { buildErrorHeaders } from './error_answer.js';

/** Time that the connection stays open so that the caller can read the answer. */
const LINGER_MS = 250;

const KIND_BY_PARSER_CODE: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: ErrorKind.HeaderTooLarge,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: ErrorKind.BodyTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: ErrorKind.RequestTimeout,
};

/**
 * Converts an error of Node's HTTP parser to a refusal.
 *
 * @param error - error that the parser reported
 * @returns the refusal
 */
export function toParserRefusal(error: NodeJS.ErrnoException): SchedulerError {
  const kind = KIND_BY_PARSER_CODE[error.code ?? ''] ?? ErrorKind.MalformedRequest;
  return new SchedulerError(kind, {
    message: `Cannot accept the request: ${kind.replaceAll('_', ' ')}`,
    cause: error,
  });
}

/**
 * Writes an error answer to a raw connection and closes it.
 *
 * @param socket - the connection
 * @param refusal - the error to send
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
