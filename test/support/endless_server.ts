/**
 * A server whose answers don't end.
 *
 * @module
 */
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { Test } from 'tap';

/** Bytes after which the server closes the connection. */
const ENDLESS_BYTES = 60_000_000;

/** Most bytes that the buffers of two sockets hold. */
export const MAX_BUFFERED_BYTES = 20_000_000;

const PART_BYTES = 65_536;

/** Parts of an answer that is no answer: what comes first, and what comes again and again. */
export const ENDLESS_HEADS: Readonly<Record<string, readonly [first: string, repeated: string]>> = {
  'empty lines before the head': ['', '\r\n'],
  junk: ['', 'z'],
  'spaces before the reason': ['HTTP/1.1 200', ' '],
  'spaces before a header value': ['HTTP/1.1 200 OK\r\nA:', ' '],
  'headers without end': ['HTTP/1.1 200 OK\r\n', 'A: b\r\n'],
  'informational answers without end': ['', 'HTTP/1.1 102 Processing\r\n\r\n'],
};

const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

/** The same behind a whole head. */
export const ENDLESS_FRAMES: typeof ENDLESS_HEADS = {
  'a chunk size without end': [CHUNKED, '0'],
  'a chunk extension without end': [`${CHUNKED}1;`, 'a'],
  'trailers without end': [`${CHUNKED}1\r\nb\r\n0\r\n`, 'A: b\r\n'],
};

/** A server, and how much it has sent. */
export interface EndlessServer {
  readonly address: string;
  readonly countSent: () => number;
  /** Resolves once the first connection is closed. */
  readonly closed: Promise<void>;
}

/** Writes a part again and again, as fast as it is read. */
function writeOn(socket: Socket, part: Buffer, onSent: (bytes: number) => boolean): void {
  while (!socket.destroyed) {
    if (!onSent(part.length)) {
      socket.end();
      return;
    }
    if (!socket.write(part)) {
      socket.once('drain', () => writeOn(socket, part, onSent));
      return;
    }
  }
}

/** Starts a server that answers each request with bytes that go on until the connection closes. */
export async function startEndlessServer(
  t: Test,
  first: string,
  repeated: string,
): Promise<EndlessServer> {
  const part = Buffer.from(repeated.repeat(Math.ceil(PART_BYTES / repeated.length)));
  let sentBytes = 0;
  let onClosed = (): void => undefined;
  const closed = new Promise<void>((resolve) => {
    onClosed = resolve;
  });
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('close', onClosed);
    socket.once('data', () => {
      socket.write(first);
      writeOn(socket, part, (bytes) => {
        sentBytes += bytes;
        return sentBytes < ENDLESS_BYTES;
      });
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, countSent: () => sentBytes, closed };
}
