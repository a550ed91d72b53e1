import type { Socket } from 'node:net';
import t from 'tap';
import { BackendFailure, ProbeCause, RateLimitKind, Reachability } from '../../ports/mod.js';
import type { BackendExchange, BackendListener } from '../../ports/mod.js';
import { TcpServerProbe } from '../server_probe/mod.js';
import { HttpDirectBackendClient } from './http_direct_backend_client.js';
import { buildRequest, collectResult, startRawServer, TestDialect } from './_test_servers.js';
import type { RawServer, ExchangeResult } from './_test_servers.js';

function send(
  backend: HttpDirectBackendClient,
  server: RawServer,
  requestId = 'r-1',
  lifeId = 'engine-1@1',
): (listener: BackendListener) => unknown {
  return (listener) =>
    backend.send(
      {
        request: buildRequest(requestId),
        address: server.address,
        serverId: 'engine-1',
        incarnationId: lifeId,
        accountId: 'firm-a',
        deadlineMs: 900,
        lastEventId: undefined,
        urgency: 0,
      },
      listener,
    );
}

async function exchangeOnce(
  serve: (socket: Socket, request: number) => void,
): Promise<ExchangeResult> {
  const server = await startRawServer(serve);
  const backend = new HttpDirectBackendClient(new TestDialect());
  const seen = await collectResult(send(backend, server));
  backend.close();
  server.close();
  return seen;
}

const HEAD = 'HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Mark: m\r\n';

t.test('HttpDirectBackend delivers a complete answer', async (t) => {
  const seen = await exchangeOnce((socket) => socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`));
  t.match(seen, { head: { status: 200, isAuthentic: true }, body: 'ok', failure: undefined });
});

t.test('HttpDirectBackend fails when the answer does not belong to its request', async (t) => {
  const cases: readonly { name: string; answer: string; failure: BackendFailure }[] = [
    {
      name: 'late answer to another request on a reused connection',
      answer: 'HTTP/1.1 200 OK\r\nX-Id: r-0\r\nX-Mark: m\r\nContent-Length: 2\r\n\r\nno',
      failure: BackendFailure.Broken,
    },
    {
      name: 'successful answer without proof of its server',
      answer: 'HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 2\r\n\r\nno',
      failure: BackendFailure.Broken,
    },
    {
      name: 'bytes that are not HTTP',
      answer: 'so it goes\r\n\r\n',
      failure: BackendFailure.Broken,
    },
    {
      name: 'full server that states it did not run the request',
      answer: 'HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n',
      failure: BackendFailure.Declined,
    },
    {
      name: 'another incarnation at that address',
      answer: 'HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n',
      failure: BackendFailure.Misdirected,
    },
  ];
  for (const { name, answer, failure } of cases) {
    const seen = await exchangeOnce((socket) => socket.write(answer));
    t.equal(seen.failure, failure, name);
    t.equal(seen.body, '', name);
  }
});

t.test(
  'HttpDirectBackend fails when the answer has a status that HTTP does not know',
  async (t) => {
    // Guards against calls that wait for their deadline, as no such status can be passed on.
    for (const status of ['000', '099']) {
      const rest = 'X-Id: r-1\r\nX-Mark: m\r\nContent-Length: 2\r\n\r\nno';
      const seen = await exchangeOnce((socket) => socket.write(`HTTP/1.1 ${status} X\r\n${rest}`));
      t.equal(seen.failure, BackendFailure.Broken, status);
    }
  },
);

t.test('HttpDirectBackend detects an incomplete answer', async (t) => {
  // Guards against half an answer being taken for a complete one: the server announces ten
  // bytes, or chunks, and crashes before the last of them. The end of the connection must
  // not count as the end of the answer.
  const announced = await exchangeOnce((socket) =>
    socket.end(`${HEAD}Content-Length: 10\r\n\r\nhalf`),
  );
  t.equal(announced.failure, BackendFailure.Lost);
  const chunked = await exchangeOnce((socket) =>
    socket.end(`${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`),
  );
  t.equal(chunked.failure, BackendFailure.Lost);
});

t.test('HttpDirectBackend distinguishes a reset from the end of an unframed answer', async (t) => {
  // Guards against a truncated body that reaches the caller as a complete success: the server
  // crashes while it sends an answer without a length, and its last bytes and the reset
  // arrive together. The event loop reports a hang-up after a partial read as a normal end.
  const reset = await exchangeOnce((socket) => {
    socket.write(`${HEAD}Connection: close\r\n\r\nhalf`, () => socket.resetAndDestroy());
  });
  t.equal(reset.failure, BackendFailure.Lost);
  const closed = await exchangeOnce((socket) =>
    socket.end(`${HEAD}Connection: close\r\n\r\nwhole`),
  );
  t.match(closed, { failure: undefined, body: 'whole' });
});

t.test('HttpDirectBackend reports NotSent when no connection can be opened', async (t) => {
  const server = await startRawServer(() => undefined);
  server.close();
  const backend = new HttpDirectBackendClient(new TestDialect());
  const seen = await collectResult(send(backend, server));
  t.equal(seen.failure, BackendFailure.NotSent);
  backend.close();
});

t.test('HttpDirectBackend reports Lost once the request may have been written', async (t) => {
  const seen = await exchangeOnce((socket) => socket.destroy());
  t.equal(seen.failure, BackendFailure.Lost);
});

t.test('HttpDirectBackend does not reuse a connection that received stray bytes', async (t) => {
  // Guards against a caller that gets the answer of another request: a server sends a second
  // answer after a complete one, and the next request on that connection reads it as its
  // own. A connection with bytes that belong to no request must not be reused.
  const server = await startRawServer((socket, request) => {
    const id = `r-${request}`;
    const answer = `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Mark: m\r\nContent-Length: 1\r\n\r\n${request}`;
    socket.write(answer);
    if (request === 1) setImmediate(() => socket.write(answer));
  });
  const backend = new HttpDirectBackendClient(new TestDialect());
  const first = await collectResult(send(backend, server, 'r-1'));
  await server.firstClosed;
  const second = await collectResult(send(backend, server, 'r-2'));
  t.equal(first.body, '1');
  t.equal(second.body, '2');
  t.equal(server.countConnections(), 2);
  backend.close();
  server.close();
});

t.test('HttpDirectBackend does not reuse connections of a former incarnation', async (t) => {
  // Guards against failures after a restart where it is unknown whether the request ran: a
  // server loses power and restarts with the same address and ID, and requests are written
  // to connections that it does not know. Connections must not be pooled by address alone.
  const server = await startRawServer((socket, request) =>
    socket.write(
      `HTTP/1.1 200 OK\r\nX-Id: r-${request}\r\nX-Mark: m\r\nContent-Length: 2\r\n\r\nok`,
    ),
  );
  const backend = new HttpDirectBackendClient(new TestDialect());
  await collectResult(send(backend, server, 'r-1'));
  await collectResult(send(backend, server, 'r-2'));
  t.equal(server.countConnections(), 1);
  await collectResult(send(backend, server, 'r-3', 'engine-1@2'));
  t.equal(server.countConnections(), 2);
  backend.close();
  server.close();
});

t.test('HttpDirectBackend reports that nothing was sent before its connection opens', async (t) => {
  const server = await startRawServer((socket) =>
    socket.end('HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Mark: m\r\nContent-Length: 2\r\n\r\nok'),
  );
  const backend = new HttpDirectBackendClient(new TestDialect());
  let exchange: BackendExchange | undefined;
  let mayHaveLeftAtFirst: boolean | undefined;
  await collectResult((listener) => {
    exchange = send(backend, server)(listener) as BackendExchange;
    mayHaveLeftAtFirst = exchange.mayHaveBeenSent;
  });
  t.equal(mayHaveLeftAtFirst, false);
  t.equal(exchange?.mayHaveBeenSent, true);
  backend.close();
  server.close();
});

t.test('HttpDirectBackend reports the rate limit in any answer of the server', async (t) => {
  // Guards against a limit that is overlooked because the answer that names it is no success.
  const limited = [{ kind: RateLimitKind.Limited, requestsPerSecond: 1.5 }];
  const cases = {
    success: `${HEAD}X-Rate: 1.5\r\nContent-Length: 2\r\n\r\nok`,
    stream: `${HEAD}X-Rate: 1.5\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n`,
    error: 'HTTP/1.1 500 No\r\nX-Id: r-1\r\nX-Rate: 1.5\r\nContent-Length: 0\r\n\r\n',
    decline: 'HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nX-Rate: 1.5\r\nContent-Length: 0\r\n\r\n',
  };
  for (const [name, answer] of Object.entries(cases)) {
    const seen = await exchangeOnce((socket) => socket.write(answer));
    t.same(seen.rateLimits, limited, name);
  }
  const strangers = {
    'another request': 'HTTP/1.1 200 OK\r\nX-Id: r-0\r\nX-Mark: m\r\nX-Rate: 1.5\r\n\r\n',
    'another server': 'HTTP/1.1 421 No\r\nX-Id: r-1\r\nX-Rate: 1.5\r\nContent-Length: 0\r\n\r\n',
  };
  for (const [name, answer] of Object.entries(strangers)) {
    const seen = await exchangeOnce((socket) => socket.write(answer));
    t.same(seen.rateLimits, [], name);
  }
});

t.test('HttpDirectBackend sends the next request on the connection of a probe', async (t) => {
  // Guards against probes that each take one of the connections which a server accepts.
  const server = await startRawServer((socket) =>
    socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`),
  );
  const backend = new HttpDirectBackendClient(new TestDialect());
  const probe = new TcpServerProbe((address, socket) => backend.keepReady(address, socket));
  t.equal(await probe.check(server.address, ProbeCause.Doubt), Reachability.Open);
  t.match(await collectResult(send(backend, server)), { body: 'ok', failure: undefined });
  t.equal(server.countConnections(), 1, 'one connection for the probe and the request');
  t.equal(await probe.check(server.address, ProbeCause.Doubt), Reachability.Open);
  backend.closeIdle('another');
  const seen = await collectResult(send(backend, server, 'r-1', 'engine-1@2'));
  t.match(seen, { body: 'ok', failure: undefined });
  t.equal(server.countConnections(), 3, 'no kept connection is used once a path was found cut');
  backend.close();
  server.close();
});
