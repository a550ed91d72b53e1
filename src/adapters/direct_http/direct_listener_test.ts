import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import t from 'tap';
import type { Test } from 'tap';
import type { DirectReply } from '../../ports/mod.js';
import { TestDialect } from './_test_servers.js';
import { DirectListener } from './direct_listener.js';

const LIMITS = {
  maxHeaderBytes: 10_000,
  maxBodyBytes: 100_000,
  headerTimeoutMs: 2_000,
  idleTimeoutMs: 2_000,
};

const REQUEST = 'GET /a HTTP/1.1\r\nHost: a\r\nX-Id: r-1\r\n\r\n';

/** More than the buffers of two sockets hold. */
const LONG_BODY = Buffer.alloc(16_777_216);

/** A listener and one connection of a caller. */
interface Connection {
  readonly listener: DirectListener;
  readonly socket: Socket;
}

async function openConnection(
  t: Test,
  handle: (reply: DirectReply) => void,
  limits = LIMITS,
): Promise<Connection> {
  const listener = new DirectListener({
    dialect: new TestDialect(),
    getLimits: () => limits,
    mustClose: () => false,
    handle: (_request, reply) => handle(reply),
    onCallerTooSlow: () => undefined,
  });
  const port = await listener.start('127.0.0.1', 0);
  const socket = connect({ port, host: '127.0.0.1' });
  socket.on('error', () => undefined);
  t.teardown(() => {
    socket.destroy();
    listener.stop();
  });
  await once(socket, 'connect');
  return { listener, socket };
}

function sendAnswer(reply: DirectReply, body = Buffer.from('ok')): void {
  reply.sendAnswer({ status: 200, headers: [], isFramed: true }, body);
}

t.test('DirectListener counts answers until their callers have taken them', async (t) => {
  // Guards against a stop that breaks off answers which have ended for all but their callers.
  let onAnswered = (): void => undefined;
  const answered = new Promise<void>((resolve) => {
    onAnswered = resolve;
  });
  const { listener, socket } = await openConnection(t, (reply) => {
    sendAnswer(reply, LONG_BODY);
    onAnswered();
  });
  t.equal(listener.unsentCount, 0, 'none');
  socket.write(REQUEST);
  await answered;
  t.equal(listener.unsentCount, 1, 'one that its caller does not read yet');
  socket.resume();
  while (listener.unsentCount > 0) await setImmediate();
  t.pass('none once it is read');
});
