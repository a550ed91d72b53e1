import t from 'tap';
import type { Socket } from 'node:net';
import { BackendFailure } from '../../ports/mod.js';
import { HttpDirectBackendClient } from './http_direct_backend_client.js';
import { buildRequest, collectResult, startRawServer, TestDialect } from './_test_servers.js';

/** Larger than what the network holds, so that the request is still being written. */
const LONG_BODY = Buffer.alloc(16_777_216);

const HEAD = 'HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Mark: m\r\n';

/** Ways to end a connection on which a request still arrives. */
const ENDS: Readonly<Record<string, (socket: Socket) => unknown>> = {
  reset: (socket) => socket.resetAndDestroy(),
  closed: (socket) => socket.destroy(),
};

t.test('HttpDirectBackend fails on an early answer that is reset on its way', async (t) => {
  // Guards against a caller that gets part of an answer as whole while its request is being written.
  for (const [name, end] of Object.entries(ENDS)) {
    for (const delayMs of [0, 5, 50]) {
      for (const framing of ['Connection: close\r\n', 'Content-Length: 12\r\n']) {
        const server = await startRawServer((socket) => {
          socket.pause();
          socket.write(`${HEAD}${framing}\r\npart`, () => setTimeout(() => end(socket), delayMs));
        });
        const backend = new HttpDirectBackendClient(new TestDialect());
        const seen = await collectResult((listener) =>
          backend.send(
            {
              request: { ...buildRequest('r-1'), body: LONG_BODY },
              address: server.address,
              serverId: 'engine-1',
              incarnationId: 'engine-1@1',
              accountId: 'firm-a',
              deadlineMs: 900,
              lastEventId: undefined,
              urgency: 0,
            },
            listener,
          ),
        );
        backend.close();
        server.close();
        t.equal(seen.failure, BackendFailure.Lost, `${name} after ${delayMs} ms, ${framing}`);
      }
    }
  }
});
