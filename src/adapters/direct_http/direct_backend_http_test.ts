import type { Socket } from 'node:net';
import t from 'tap';
import { BackendFailure } from '../../ports/mod.js';
import type { BackendExchange, BackendListener } from '../../ports/mod.js';
import { HttpDirectBackend } from './direct_backend_http.js';
import { buildRequest, collect, startRawServer, TestDialect } from './_test_servers.js';
import type { RawServer, Seen } from './_test_servers.js';

function send(
  backend: HttpDirectBackend,
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
        lifeId,
        accountId: 'firm-a',
        deadlineMs: 900,
        lastEventId: undefined,
      },
      listener,
    );
}

async function ask(serve: (socket: Socket, request: number) => void): Promise<Seen> {
  const server = await startRawServer(serve);
  const backend = new HttpDirectBackend(new TestDialect());
  const seen = await collect(send(backend, server));
  backend.close();
  server.close();
  return seen;
}

const HEAD = 'HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Mark: m\r\n';

t.test('HttpDirectBackend passes a whole answer on', async (t) => {
  const seen = await ask((socket) => socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`));
  t.match(seen, { head: { status: 200, isAuthentic: true }, body: 'ok', failure: undefined });
});

t.test('HttpDirectBackend says what is not an answer to its request', async (t) => {
  const cases: readonly { name: string; answer: string; failure: BackendFailure }[] = [
    {
      name: 'answer of another request, late on a kept connection',
      answer: 'HTTP/1.1 200 OK\r\nX-Id: r-0\r\nX-Mark: m\r\nContent-Length: 2\r\n\r\nno',
      failure: BackendFailure.Broken,
    },
    {
      name: 'success without the mark of its server',
      answer: 'HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 2\r\n\r\nno',
      failure: BackendFailure.Broken,
    },
    {
      name: 'bytes that are no answer',
      answer: 'so it goes\r\n\r\n',
      failure: BackendFailure.Broken,
    },
    {
      name: 'full server that says it did not run it',
      answer: 'HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n',
      failure: BackendFailure.Declined,
    },
    {
      name: 'another life at that address',
      answer: 'HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n',
      failure: BackendFailure.Misdirected,
    },
  ];
  for (const { name, answer, failure } of cases) {
    const seen = await ask((socket) => socket.write(answer));
    t.equal(seen.failure, failure, name);
    t.equal(seen.body, '', name);
  }
});

t.test('HttpDirectBackend tells an answer that breaks off from a whole one', async (t) => {
  // Symptom: a caller takes half an answer for a whole one.
  // Sequence: the server announces ten bytes, or chunks, and dies before the last.
  // Cause: the end of the connection was taken for the end of the answer.
  const announced = await ask((socket) => socket.end(`${HEAD}Content-Length: 10\r\n\r\nhalf`));
  t.equal(announced.failure, BackendFailure.Lost);
  const chunked = await ask((socket) =>
    socket.end(`${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`),
  );
  t.equal(chunked.failure, BackendFailure.Lost);
});

t.test('HttpDirectBackend tells a reset from the end of an answer without a length', async (t) => {
  // Symptom: a caller gets a success whose body lacks its end, framed as complete.
  // Sequence: the server sends an answer without a length and crashes; its last bytes
  // and the reset arrive together.
  // Cause: the event loop reports a hang-up behind a partial read as a plain end.
  const reset = await ask((socket) => {
    socket.write(`${HEAD}Connection: close\r\n\r\nhalf`, () => socket.resetAndDestroy());
  });
  t.equal(reset.failure, BackendFailure.Lost);
  const closed = await ask((socket) => socket.end(`${HEAD}Connection: close\r\n\r\nwhole`));
  t.match(closed, { failure: undefined, body: 'whole' });
});

t.test('HttpDirectBackend knows that nothing was sent without a connection', async (t) => {
  const server = await startRawServer(() => undefined);
  server.close();
  const backend = new HttpDirectBackend(new TestDialect());
  const seen = await collect(send(backend, server));
  t.equal(seen.failure, BackendFailure.NotSent);
  backend.close();
});

t.test('HttpDirectBackend says that a request may have run once it was written', async (t) => {
  const seen = await ask((socket) => socket.destroy());
  t.equal(seen.failure, BackendFailure.Lost);
});

t.test('HttpDirectBackend reuses no connection on which unasked bytes came', async (t) => {
  // Symptom: a caller gets another request's answer.
  // Sequence: a server sends a second answer behind a whole one; the next request on
  // that connection finds it as its own.
  // Cause: the connection went back into use with bytes that belong to no request.
  const server = await startRawServer((socket, request) => {
    const id = `r-${request}`;
    const answer = `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Mark: m\r\nContent-Length: 1\r\n\r\n${request}`;
    socket.write(answer);
    if (request === 1) setImmediate(() => socket.write(answer));
  });
  const backend = new HttpDirectBackend(new TestDialect());
  const first = await collect(send(backend, server, 'r-1'));
  await server.firstClosed;
  const second = await collect(send(backend, server, 'r-2'));
  t.equal(first.body, '1');
  t.equal(second.body, '2');
  t.equal(server.connectionCount(), 2);
  backend.close();
  server.close();
});

t.test('HttpDirectBackend uses no connection of a former life', async (t) => {
  // Symptom: the first requests after a backend server's restart fail, and nobody can
  // tell whether they have run.
  // Sequence: the server loses power and starts again at its address under its name;
  // requests are written to connections that it knows nothing of.
  // Cause: connections were kept by address alone.
  const server = await startRawServer((socket, request) =>
    socket.write(
      `HTTP/1.1 200 OK\r\nX-Id: r-${request}\r\nX-Mark: m\r\nContent-Length: 2\r\n\r\nok`,
    ),
  );
  const backend = new HttpDirectBackend(new TestDialect());
  await collect(send(backend, server, 'r-1'));
  await collect(send(backend, server, 'r-2'));
  t.equal(server.connectionCount(), 1);
  await collect(send(backend, server, 'r-3', 'engine-1@2'));
  t.equal(server.connectionCount(), 2);
  backend.close();
  server.close();
});

t.test('HttpDirectBackend knows that nothing has left before its connection is open', async (t) => {
  const server = await startRawServer((socket) =>
    socket.end('HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Mark: m\r\nContent-Length: 2\r\n\r\nok'),
  );
  const backend = new HttpDirectBackend(new TestDialect());
  let exchange: BackendExchange | undefined;
  let mayHaveLeftAtFirst: boolean | undefined;
  await collect((listener) => {
    exchange = send(backend, server)(listener) as BackendExchange;
    mayHaveLeftAtFirst = exchange.mayHaveLeft;
  });
  t.equal(mayHaveLeftAtFirst, false);
  t.equal(exchange?.mayHaveLeft, true);
  backend.close();
  server.close();
});
