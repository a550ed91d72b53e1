/**
 * A caller that reads the bytes of an answer from its socket, and tells how the answer ended.
 *
 * @module
 */
import { connect } from 'node:net';

/** How an answer is framed, according to its head. */
export enum Framing {
  Length = 'length',
  Chunks = 'chunks',
  None = 'none',
}

/** An answer as a caller's socket received it. */
export interface RawAnswer {
  readonly status: number;
  readonly framing: Framing;
  /** Body without the framing of chunks. */
  readonly body: string;
  /** Whether the end of the body is marked, by its length or its last chunk. */
  readonly isMarkedComplete: boolean;
  /** Whether the connection ended, and with a reset. */
  readonly hasEnded: boolean;
  readonly wasReset: boolean;
}

const NONE: RawAnswer = {
  status: 0,
  framing: Framing.None,
  body: '',
  isMarkedComplete: false,
  hasEnded: false,
  wasReset: false,
};

/**
 * Sends a request and reads until the answer is marked as complete or the connection ends.
 *
 * @param port - port of an entry host on the loopback interface
 * @param text - bytes of the request
 * @param onBody - called with the body so far, as more of it arrives
 */
export function exchangeRaw(
  port: number,
  text: string,
  onBody: (body: string) => void = () => undefined,
): Promise<RawAnswer> {
  return new Promise((resolve) => {
    const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    let received = '';
    const finish = (end: Pick<RawAnswer, 'hasEnded' | 'wasReset'>): void => {
      socket.destroy();
      resolve({ ...parseAnswer(received), ...end });
    };
    socket.setEncoding('latin1');
    socket.on('data', (bytes) => {
      received += String(bytes);
      const answer = parseAnswer(received);
      onBody(answer.body);
      if (answer.isMarkedComplete) finish({ hasEnded: false, wasReset: false });
    });
    socket.on('error', () => finish({ hasEnded: true, wasReset: true }));
    // A reset that arrives together with the last bytes is reported as an end; a write tells.
    socket.on('end', () => {
      socket.write('\r\n', (error) => {
        finish({ hasEnded: true, wasReset: error instanceof Error });
      });
    });
    socket.write(text);
  });
}

function parseAnswer(text: string): RawAnswer {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return NONE;
  const head = text.slice(0, headEnd);
  const rest = text.slice(headEnd + 4);
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1]);
  const length = /\r\ncontent-length: *(\d+)/i.exec(head)?.[1];
  const base = { ...NONE, status };
  if (/\r\ntransfer-encoding: *chunked/i.test(head)) {
    return { ...base, framing: Framing.Chunks, ...parseChunks(rest) };
  }
  if (length === undefined) return { ...base, body: rest };
  const isMarkedComplete = rest.length >= Number(length);
  return { ...base, framing: Framing.Length, body: rest, isMarkedComplete };
}

function parseChunks(text: string): Pick<RawAnswer, 'body' | 'isMarkedComplete'> {
  let body = '';
  let at = 0;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at);
    const size = lineEnd < 0 ? NaN : parseInt(text.slice(at, lineEnd), 16);
    if (Number.isNaN(size)) return { body, isMarkedComplete: false };
    if (size === 0) return { body, isMarkedComplete: true };
    body += text.slice(lineEnd + 2, lineEnd + 2 + size);
    at = lineEnd + 2 + size + 2;
  }
}
