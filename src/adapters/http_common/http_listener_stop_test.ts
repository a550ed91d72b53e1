import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import t from 'tap';
import type { Test } from 'tap';
import { FakeLog } from '../../../test/support/fakes.js';
import type { HttpExchange } from './http_exchange.js';
import { DEFAULT_HTTP_LIMITS } from './http_limits.js';
import { HttpListener } from './http_listener.js';

/** More than the buffers of two sockets hold. */
const LONG_BODY = Buffer.alloc(16_777_216);

const BODY = Buffer.alloc(100_000);

async function openConnection(
  t: Test,
  handle: (exchange: HttpExchange) => void,
): Promise<{ readonly listener: HttpListener; readonly socket: Socket }> {
  const listener = new HttpListener({
    limits: DEFAULT_HTTP_LIMITS,
    log: new FakeLog(),
    handle: async (exchange) => handle(exchange),
  });
  const { port } = await listener.start('127.0.0.1', 0);
  const socket = connect({ port, host: '127.0.0.1' });
  socket.on('error', () => undefined);
  t.teardown(async () => {
    socket.destroy();
    await listener.stop();
  });
  await once(socket, 'connect');
  return { listener, socket };
}

t.test('HttpListener sends ended answers to slow callers as it stops', async (t) => {
  // Guards against ended answers that a stop breaks off as their callers read slowly.
  let isAnswered = false;
  const { listener, socket } = await openConnection(t, ({ response }) => {
    response.end(LONG_BODY);
    isAnswered = true;
  });
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  while (!isAnswered) await setImmediate();
  const stopped = listener.stop();
  socket.resume();
  while (socket.bytesRead < LONG_BODY.length && !socket.destroyed) await setImmediate();
  t.ok(socket.bytesRead > LONG_BODY.length);
  await stopped;
});

t.test('HttpListener answers all requests that have arrived as it drains', async (t) => {
  // Guards against requests behind an answer that ends its connection, which run unanswered.
  const handled: HttpExchange[] = [];
  const { listener, socket } = await openConnection(t, (exchange) => handled.push(exchange));
  listener.drain();
  let received = '';
  socket.setEncoding('latin1').on('data', (text) => {
    received += String(text);
  });
  const request = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
  socket.write(request + request);
  while (handled.length < 2 && !socket.destroyed) await setImmediate();
  handled.forEach((exchange, index) => exchange.sendJson(200, { index }));
  await once(socket, 'close');
  t.match(received, /"index":0[^]*close[^]*"index":1/i);
});

t.test('HttpListener reads a body that stands behind a request under way', async (t) => {
  // Guards against a request that is cut off by the timeout of the one behind it.
  const handled: HttpExchange[] = [];
  const { socket } = await openConnection(t, (exchange) => handled.push(exchange));
  socket.resume();
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  while (handled.length < 1) await setImmediate();
  socket.write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${BODY.length}\r\n\r\n`);
  socket.write(BODY);
  while (handled.length < 2) await setImmediate();
  t.equal((await handled[1]?.readBody('caller'))?.length, BODY.length);
  handled.forEach((exchange, index) => exchange.sendJson(200, { index }));
});
