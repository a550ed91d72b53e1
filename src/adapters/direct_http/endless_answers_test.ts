import type { Socket } from 'node:net';
import t from 'tap';
import type { Test } from 'tap';
import { BackendFailure } from '../../ports/mod.js';
import type { BackendExchange, BackendListener } from '../../ports/mod.js';
import { HttpDirectBackendClient } from './http_direct_backend_client.js';
import { buildRequest, collectResult, startRawServer, TestDialect } from './_test_servers.js';
import type { RawServer } from './_test_servers.js';

/** Bytes after which a server gives up. */
const ENDLESS_BYTES = 200_000_000;

/** Most bytes that the buffers of two sockets hold. */
const MAX_BUFFERED_BYTES = 20_000_000;

const HEAD = 'HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Mark: m\r\n';
const DECLINE = 'HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nX-Id: r-1\r\n';
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

/** A server that answers its first request without end, and a client. */
interface EndlessExchange {
  readonly server: RawServer;
  readonly backend: HttpDirectBackendClient;
  readonly countSent: () => number;
}

/** Writes a part again and again, as fast as it is read, until the connection closes. */
function writeWithoutEnd(socket: Socket, part: Buffer, onSent: (bytes: number) => boolean): void {
  while (!socket.destroyed && onSent(part.length)) {
    if (!socket.write(part)) {
      socket.once('drain', () => writeWithoutEnd(socket, part, onSent));
      return;
    }
  }
}

async function startEndless(t: Test, first: string, repeated: string): Promise<EndlessExchange> {
  const part = Buffer.from(repeated.repeat(Math.ceil(65_536 / Math.max(1, repeated.length))));
  let sentBytes = 0;
  const server = await startRawServer((socket, request) => {
    if (request > 1) {
      socket.write(`${HEAD.replace('r-1', 'r-2')}Content-Length: 2\r\n\r\nok`);
      return;
    }
    socket.write(first);
    if (repeated === '') return;
    writeWithoutEnd(socket, part, (bytes) => {
      sentBytes += bytes;
      return sentBytes < 2 * ENDLESS_BYTES;
    });
  });
  const backend = new HttpDirectBackendClient(new TestDialect());
  t.teardown(() => {
    backend.close();
    server.close();
  });
  return { server, backend, countSent: () => sentBytes };
}

function send(
  { backend, server }: EndlessExchange,
  requestId = 'r-1',
): (listener: BackendListener) => unknown {
  return (listener) =>
    backend.send(
      {
        request: buildRequest(requestId),
        address: server.address,
        serverId: 'engine-1',
        incarnationId: 'engine-1@1',
        accountId: 'firm-a',
        deadlineMs: 900,
        lastEventId: undefined,
        urgency: 0,
      },
      listener,
    );
}

/** Checks that the connection is closed before all is read, and that none is reused. */
async function checkClosed(t: Test, exchange: EndlessExchange, name: string): Promise<void> {
  await exchange.server.firstClosed;
  t.ok(exchange.countSent() < MAX_BUFFERED_BYTES, `${name}: the connection closes early`);
  const next = await collectResult(send(exchange, 'r-2'));
  t.match(next, { body: 'ok', failure: undefined }, `${name}: the next request is answered`);
  t.equal(exchange.server.countConnections(), 2, `${name}: over another connection`);
}

t.test('HttpDirectBackend fails on an answer that never becomes one', async (t) => {
  // Guards against a server that holds a call, a connection and processor time until the call's
  // deadline by sending bytes without end that are part of no answer.
  const cases: Record<string, readonly [first: string, repeated: string]> = {
    'empty lines before the head': ['', '\r\n'],
    junk: ['', 'z'],
    'a reason without end': ['HTTP/1.1 200 ', 'a'],
    'spaces before the reason': ['HTTP/1.1 200', ' '],
    'a header value without end': [`${HEAD}A: `, 'a'],
    'spaces before a header value': [`${HEAD}A:`, ' '],
    'headers without end': [HEAD, 'A: b\r\n'],
    'informational answers without end': ['', 'HTTP/1.1 102 Processing\r\n\r\n'],
    'a chunk size without end': [CHUNKED, '0'],
    'a chunk extension without end': [`${CHUNKED}1;`, 'a'],
    'a long extension of each chunk': [CHUNKED, `1;${'a'.repeat(8_000)}\r\nb\r\n`],
    'a trailer without end': [`${CHUNKED}1\r\nb\r\n0\r\nA:`, ' '],
    'trailers without end': [`${CHUNKED}1\r\nb\r\n0\r\n`, 'A: b\r\n'],
  };
  for (const [name, [first, repeated]] of Object.entries(cases)) {
    const exchange = await startEndless(t, first, repeated);
    const seen = await collectResult(send(exchange));
    t.equal(seen.failure, BackendFailure.Broken, name);
    await checkClosed(t, exchange, name);
  }
});

t.test('HttpDirectBackend closes the connection of a whole answer that goes on', async (t) => {
  // Guards against bytes behind an answer that are read as the next one, or read without end.
  const whole = `${HEAD}Content-Length: 2\r\n\r\nok`;
  const cases = { junk: 'z', 'empty lines': '\r\n', 'further answers': whole };
  for (const [name, repeated] of Object.entries(cases)) {
    const exchange = await startEndless(t, whole, repeated);
    t.match(await collectResult(send(exchange)), { body: 'ok', failure: undefined }, name);
    await checkClosed(t, exchange, name);
  }
});

t.test('HttpDirectBackend does not read a decline without end', async (t) => {
  // Guards against a body that nobody waits for and that is read for good.
  const cases = {
    'a body without a length': [`${DECLINE}\r\n`, 'z'],
    'a body with a length': [`${DECLINE}Content-Length: 99999999999\r\n\r\n`, 'z'],
    chunks: [`${DECLINE}Transfer-Encoding: chunked\r\n\r\n`, '1\r\nb\r\n'],
    'a body that stops': [`${DECLINE}Content-Length: 9\r\n\r\n`, ''],
  } as const;
  for (const [name, [first, repeated]] of Object.entries(cases)) {
    const exchange = await startEndless(t, first, repeated);
    t.equal((await collectResult(send(exchange))).failure, BackendFailure.Declined, name);
    await checkClosed(t, exchange, name);
  }
});

t.test('HttpDirectBackend bounds the time of a head', async (t) => {
  // Guards against a server that sends a head byte by byte until the call's deadline.
  const cases = {
    'a head that stops': `${HEAD}A: `,
    'a head that stops behind an informational one': `HTTP/1.1 103 Early\r\n\r\n${HEAD}A: `,
  };
  for (const [name, first] of Object.entries(cases)) {
    const trickle = await startEndless(t, first, '');
    const seen = await collectResult(send(trickle));
    t.equal(seen.failure, BackendFailure.Broken, name);
    await checkClosed(t, trickle, name);
  }
});

t.test('a body without end is read with bounded memory, and ends with its call', async (t) => {
  // Guards against buffers that grow with what a server sends, and a run that nobody waits for.
  const before = process.memoryUsage();
  let readBytes = 0;
  let mostUsedBytes = 0;
  let mostUnreadBytes = 0;
  const exchange = await startEndless(t, `${HEAD}Connection: close\r\n\r\n`, 'z');
  await new Promise<void>((resolve) => {
    const inFlight = send(exchange)({
      onNotice: () => undefined,
      onHead: () => undefined,
      onBody: (bytes) => {
        readBytes += bytes.length;
        const { heapUsed, external } = process.memoryUsage();
        mostUsedBytes = Math.max(mostUsedBytes, heapUsed + external);
        mostUnreadBytes = Math.max(mostUnreadBytes, exchange.countSent() - readBytes);
        if (readBytes < ENDLESS_BYTES) return;
        inFlight.cancel();
        resolve();
      },
      onComplete: () => t.fail('complete'),
      onFailure: (failure) => t.fail(failure),
    }) as BackendExchange;
  });
  await exchange.server.firstClosed;
  const grownBytes = mostUsedBytes - before.heapUsed - before.external;
  t.ok(mostUnreadBytes < MAX_BUFFERED_BYTES, `${mostUnreadBytes} bytes sent ahead`);
  t.ok(grownBytes < ENDLESS_BYTES / 2, `${grownBytes} bytes used, for both ends`);
});
