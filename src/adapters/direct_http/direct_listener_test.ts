import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import t from 'tap';
import type { Test } from 'tap';
import type { DirectReply } from '../../ports/mod.js';
import { FakeLog } from '../../../test/support/fakes.js';
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

/** Shortest idle time; what it leaves open is closed a second later. */
const SHORT_IDLE = { ...LIMITS, idleTimeoutMs: 20 };

/** A listener and one connection of a caller. */
interface Connection {
  readonly listener: DirectListener;
  readonly port: number;
  readonly socket: Socket;
}

async function openConnection(
  t: Test,
  handle: (reply: DirectReply) => void,
  getLimits = () => LIMITS,
): Promise<Connection> {
  const listener = new DirectListener({
    dialect: new TestDialect(),
    getLimits,
    mustClose: () => false,
    handle: (_request, reply) => handle(reply),
    log: new FakeLog(),
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
  return { listener, port, socket };
}

/** Waits until the listener closes another connection that has been idle since its answer. */
async function passIdleTime(port: number): Promise<void> {
  const socket = connect({ port, host: '127.0.0.1' });
  socket.write(REQUEST);
  socket.resume();
  await once(socket, 'close');
}

/** @returns whether bytes arrive before the connection ends */
async function isAnswered(socket: Socket): Promise<boolean> {
  if (socket.destroyed) return false;
  return Promise.race([
    once(socket, 'data').then(() => true),
    once(socket, 'close').then(() => false),
  ]);
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

t.test(
  'a request on a kept connection may take its time, however short idle ones last',
  async (t) => {
    // Guards against connections that are closed as idle while a request or its answer is under way.
    const parts = {
      head: ['GET /a HTTP/1.1\r\nHost: a\r\n', 'X-Id: r-2\r\n\r\n'],
      body: ['POST /a HTTP/1.1\r\nHost: a\r\nX-Id: r-2\r\nContent-Length: 4\r\n\r\nab', 'cd'],
      'first line': ['GET /a HT', 'TP/1.1\r\nHost: a\r\nX-Id: r-2\r\n\r\n'],
    };
    await Promise.all(
      Object.entries(parts).map(async ([name, [first = '', second = '']]) => {
        const { socket, port } = await openConnection(t, sendAnswer, () => SHORT_IDLE);
        socket.write(REQUEST);
        t.ok(await isAnswered(socket), `${name}: the first request is answered`);
        socket.write(first);
        await passIdleTime(port);
        socket.write(second);
        t.ok(await isAnswered(socket), `${name}: the second one is answered`);
      }),
    );
  },
);

t.test('an answer may take longer than the idle time', async (t) => {
  // Guards against connections that are closed as idle while their caller waits.
  const other = await openConnection(t, sendAnswer, () => SHORT_IDLE);
  const handle = (reply: DirectReply): void => {
    passIdleTime(other.port).then(() => sendAnswer(reply), t.threw);
  };
  const { socket } = await openConnection(t, handle, () => SHORT_IDLE);
  socket.write(REQUEST);
  t.ok(await isAnswered(socket));
});

t.test('a longer idle time holds for connections that are open', async (t) => {
  // Guards against a new configuration whose callers find their connections closed too soon.
  let limits = SHORT_IDLE;
  const other = await openConnection(t, sendAnswer, () => SHORT_IDLE);
  const { socket } = await openConnection(t, sendAnswer, () => limits);
  socket.write(REQUEST);
  t.ok(await isAnswered(socket), 'the first request is answered');
  limits = LIMITS;
  await passIdleTime(other.port);
  socket.write(REQUEST);
  t.ok(await isAnswered(socket), 'the second one is answered');
});

t.test('an idle connection is closed after its time, also one with half a head', async (t) => {
  // Guards against connections that nobody uses and that are kept for good.
  const limits = { ...SHORT_IDLE, headerTimeoutMs: 20 };
  const { socket } = await openConnection(t, sendAnswer, () => limits);
  socket.write(REQUEST);
  t.ok(await isAnswered(socket));
  socket.write('GET /a HT');
  await once(socket, 'close');
  t.pass('closed');
});

t.test(
  'DirectListener refuses new connections once it accepts none, and ends its answers',
  async (t) => {
    // Guards against callers whose requests are written to a process that exits without reading them.
    let reply: DirectReply | undefined;
    let onHandled = (): void => undefined;
    const handled = new Promise<void>((resolve) => {
      onHandled = resolve;
    });
    const { listener, port, socket } = await openConnection(t, (open) => {
      reply = open;
      onHandled();
    });
    socket.write(REQUEST);
    await handled;
    listener.stopAccepting();
    const late = connect({ port, host: '127.0.0.1' });
    const [error] = (await once(late, 'error')) as [NodeJS.ErrnoException];
    t.equal(error.code, 'ECONNREFUSED');
    if (reply) sendAnswer(reply);
    t.ok(await isAnswered(socket), 'the open answer arrives');
  },
);

t.test('a caller that reads slowly gets its whole answer while connections close', async (t) => {
  // Guards against ended answers that a stop breaks off before its time for slow callers is over.
  let onAnswered = (): void => undefined;
  const answered = new Promise<void>((resolve) => {
    onAnswered = resolve;
  });
  const { listener, socket } = await openConnection(t, (reply) => {
    sendAnswer(reply, LONG_BODY);
    onAnswered();
  });
  socket.write(REQUEST);
  await answered;
  listener.stopAccepting();
  socket.resume();
  while (listener.unsentCount > 0) await setImmediate();
  while (socket.bytesRead < LONG_BODY.length && !socket.destroyed) await setImmediate();
  t.ok(socket.bytesRead > LONG_BODY.length);
});

t.test(
  'a body may arrive in parts while its limit shrinks, and not beyond the limit',
  async (t) => {
    // Guards against requests that a new configuration breaks off, and against bodies without a bound.
    let limits = LIMITS;
    let reads = 0;
    const { socket } = await openConnection(t, sendAnswer, () => {
      reads += 1;
      return limits;
    });
    const head = (bytes: number): string =>
      `POST /a HTTP/1.1\r\nHost: a\r\nX-Id: r-1\r\nContent-Length: ${bytes}\r\n\r\n`;
    let answer = '';
    socket.on('data', (bytes: Buffer) => {
      answer += bytes.toString('latin1');
    });
    const write = async (text: string): Promise<string> => {
      answer = '';
      socket.write(text);
      await once(socket, 'data');
      return answer.slice(0, 12);
    };
    socket.write(`${head(4)}ab`);
    // The limits are read for the connection, and twice for its request.
    while (reads < 3) await setImmediate();
    limits = { ...LIMITS, maxBodyBytes: 3 };
    t.equal(await write('cd'), 'HTTP/1.1 200', 'the limit at its head counts');
    t.equal(await write(`${head(4)}abcd`), 'HTTP/1.1 413', 'the new limit counts for the next one');
    t.equal(await write(`${head(2)}ab`), 'HTTP/1.1 200', 'the connection stays');
  },
);
