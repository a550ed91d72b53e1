import t from 'tap';
import type { Socket } from 'node:net';
import { BackendCallStage } from '../../ports/mod.js';
import { startRawServer } from '../direct_http/_test_servers.js';
import { RawEngine } from './_raw_engine.js';

/** Larger than what the network holds, so that the request is still being written. */
const LONG_BODY = Buffer.alloc(16_777_216);

const HEAD = 'HTTP/1.1 200 OK\r\nStream-Id: s-1\r\n';

/** Ways to end a connection on which a request still arrives. */
const ENDS: Readonly<Record<string, (socket: Socket) => unknown>> = {
  reset: (socket) => socket.resetAndDestroy(),
  closed: (socket) => socket.destroy(),
};

const FAILED_STAGES: ReadonlySet<string> = new Set([
  BackendCallStage.AfterHandOver,
  BackendCallStage.Answering,
]);

t.test('dispatch() fails on an early answer that is reset on its way', async (t) => {
  // Guards against a caller that gets part of an answer as whole while its request is being written.
  for (const [name, end] of Object.entries(ENDS)) {
    for (const delayMs of [0, 5, 50]) {
      for (const framing of ['Connection: close\r\n', 'Content-Length: 12\r\n']) {
        const server = await startRawServer((socket) => {
          socket.pause();
          socket.write(`${HEAD}${framing}\r\npart`, () => setTimeout(() => end(socket), delayMs));
        });
        const result = await new RawEngine(t, server.address).run(false, LONG_BODY);
        server.close();
        t.ok(FAILED_STAGES.has(result), `${name} after ${delayMs} ms, ${framing}: ${result}`);
      }
    }
  }
});

t.test('dispatch() and resume() fail on a status that is none', async (t) => {
  // Guards against a caller that gets an answer whose status its client can't read.
  for (const status of ['000', '0', '042', '100', '199']) {
    const engine = await RawEngine.start(t, `HTTP/1.1 ${status} x\r\nContent-Length: 2\r\n\r\nok`);
    t.ok(FAILED_STAGES.has(await engine.run()), status);
    t.ok(FAILED_STAGES.has(await engine.resume()), status);
  }
});
