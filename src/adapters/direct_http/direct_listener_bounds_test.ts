import { once } from 'node:events';
import type { IncomingHttpHeaders } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import t from 'tap';
import type { Test } from 'tap';
import type { DirectReply } from '../../ports/mod.js';
import { FakeLog } from '../../../test/support/fakes.js';
import { TestDialect } from './_test_servers.js';
import type { CallInfo } from './direct_dialect.js';
import { DirectListener } from './direct_listener.js';

const LIMITS = {
  maxHeaderBytes: 10_000,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 60_000,
  idleTimeoutMs: 60_000,
};

const MAX_CONNECTIONS = 20;

const REQUEST = 'GET /a HTTP/1.1\r\nHost: a\r\nX-Id: r-1\r\n\r\n';

/** A listener, and callers that have connected to it. */
interface Connections {
  readonly port: number;
  readonly sockets: readonly Socket[];
  /** Bytes that waited for each caller whose answer was broken off. */
  readonly brokenOff: readonly number[];
}

async function openConnections(
  t: Test,
  count: number,
  handle: (reply: DirectReply) => void,
  dialect = new TestDialect(),
): Promise<Connections> {
  const brokenOff: number[] = [];
  const listener = new DirectListener({
    dialect,
    getLimits: () => LIMITS,
    mustClose: () => false,
    handle: (_request, reply) => handle(reply),
    log: new FakeLog(),
    maxConnections: MAX_CONNECTIONS,
    onCallerTooSlow: (_requestId, bufferedBytes) => brokenOff.push(bufferedBytes),
  });
  const port = await listener.start('127.0.0.1', 0);
  const sockets = Array.from({ length: count }, () => connect({ port, host: '127.0.0.1' }));
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    listener.stop();
  });
  sockets.forEach((socket) => socket.on('error', () => undefined));
  return { port, sockets, brokenOff };
}

// Guards against a host that ends for lack of memory, since many callers send long bodies.
t.test('the bodies of all callers together have a bound', async (t) => {
  const { sockets } = await openConnections(t, 9, (reply) => reply.abort());
  const answers = sockets.map(async (socket) => {
    socket.write('POST /a HTTP/1.1\r\nHost: a\r\nX-Id: r-1\r\nContent-Length: 4194304\r\n\r\n');
    socket.write(Buffer.alloc(4_000_000));
    const [bytes] = (await once(socket, 'data')) as [Buffer];
    return bytes.toString('latin1', 0, 12);
  });
  t.equal(await Promise.race(answers), 'HTTP/1.1 503');
});

// Guards against a host that ends for lack of memory, since many callers don't read their answers.
t.test('the answers that wait for all callers together have a bound', async (t) => {
  let answered = 0;
  let onAllAnswered = (): void => undefined;
  const allAnswered = new Promise<void>((resolve) => {
    onAllAnswered = resolve;
  });
  const { sockets, brokenOff } = await openConnections(t, 12, (reply) => {
    const size = answered === 5 ? 12_000_000 : 8_000_000;
    reply.sendAnswer({ status: 200, headers: [], isFramed: true }, Buffer.alloc(size));
    answered += 1;
    if (answered === 12) onAllAnswered();
  });
  sockets.forEach((socket) => socket.write(REQUEST));
  await allAnswered;
  await setImmediate();
  t.ok(brokenOff.length > 0 && brokenOff.length < 12, `${brokenOff.length} are broken off`);
  t.ok(Math.max(...brokenOff) > 8_000_000, 'the largest one is among them');
});

/** Sends long bodies on one connection, without waiting for answers. */
function sendBodies(socket: Socket, count: number): void {
  const head = 'POST /a HTTP/1.1\r\nHost: a\r\nX-Id: r-1\r\nContent-Length: 3400000\r\n\r\n';
  for (let sent = 0; sent < count; sent += 1) {
    socket.write(head);
    socket.write(Buffer.alloc(3_400_000));
  }
}

/** Tells when so many heads of requests have been read. */
class HeadCounter extends TestDialect {
  #headCount = 0;

  #waiter: { readonly count: number; readonly resolve: () => void } | undefined;

  override readCall(headers: IncomingHttpHeaders): CallInfo {
    this.#headCount += 1;
    if (this.#headCount === this.#waiter?.count) this.#waiter.resolve();
    return super.readCall(headers);
  }

  /** @param count - number of heads from now on */
  waitFor(count: number): Promise<void> {
    return new Promise((resolve) => {
      this.#waiter = { count: this.#headCount + count, resolve };
    });
  }
}

// Guards against a host that refuses all bodies for good, as it counts those of connections that are gone.
t.test('the bodies behind an open request are dropped with their connection', async (t) => {
  let handled = 0;
  let onAllHandled = (): void => undefined;
  const allHandled = new Promise<string>((resolve) => {
    onAllHandled = () => resolve('all handled');
  });
  const heads = new HeadCounter();
  const { sockets } = await openConnections(
    t,
    6,
    () => {
      handled += 1;
      if (handled === 6) onAllHandled();
    },
    heads,
  );
  for (const socket of sockets.slice(0, 2)) {
    const bodiesRead = heads.waitFor(5);
    sendBodies(socket, 4);
    socket.write(REQUEST);
    await bodiesRead;
    socket.destroy();
    await once(socket, 'close');
  }
  const answers = sockets.slice(2).map(async (socket) => {
    sendBodies(socket, 1);
    const [bytes] = (await once(socket, 'data')) as [Buffer];
    return bytes.toString('latin1', 0, 12);
  });
  t.equal(await Promise.race([allHandled, ...answers]), 'all handled');
});

/** @returns status line of the answer, or nothing if the connection is closed before */
async function readStatus(socket: Socket): Promise<string> {
  const closed = once(socket, 'close').then(() => '');
  const answered = once(socket, 'data').then(([bytes]) => String(bytes).slice(0, 12));
  socket.write(REQUEST);
  return Promise.race([closed, answered]);
}

// Guards against a host that can't be reached, nor reach others, as idle callers hold its descriptors.
t.test('the connection that is idle for longest makes room for a new one', async (t) => {
  const { port, sockets } = await openConnections(t, MAX_CONNECTIONS, (reply) => {
    reply.sendAnswer({ status: 200, headers: [], isFramed: true }, Buffer.from('ok'));
  });
  for (const socket of sockets) t.equal(await readStatus(socket), 'HTTP/1.1 200');
  const [first, ...others] = sockets;
  const firstClosed = once(first as Socket, 'close');
  const late = connect({ port, host: '127.0.0.1' });
  t.teardown(() => late.destroy());
  t.equal(await readStatus(late), 'HTTP/1.1 200');
  await firstClosed;
  t.ok(others.every(({ destroyed }) => !destroyed));
});

// Guards against requests that are cut off as new callers come.
t.test('no connection with a request makes room for a new one', async (t) => {
  const replies: DirectReply[] = [];
  let onAllArrived = (): void => undefined;
  const allArrived = new Promise<void>((resolve) => {
    onAllArrived = resolve;
  });
  const { port, sockets } = await openConnections(t, MAX_CONNECTIONS, (reply) => {
    if (replies.push(reply) === MAX_CONNECTIONS) onAllArrived();
  });
  const statuses = sockets.map(readStatus);
  await allArrived;
  const late = connect({ port, host: '127.0.0.1' }).on('error', () => undefined);
  t.equal(await readStatus(late).catch(() => ''), '', 'the new one is closed');
  replies.forEach((reply) =>
    reply.sendAnswer({ status: 200, headers: [], isFramed: true }, Buffer.from('ok')),
  );
  t.ok((await Promise.all(statuses)).every((status) => status === 'HTTP/1.1 200'));
});

// Guards against idle connections that are closed while a request is arriving.
t.test('a connection whose request has arrived unread makes no room', async (t) => {
  const { port, sockets } = await openConnections(t, MAX_CONNECTIONS, (reply) => {
    reply.sendAnswer({ status: 200, headers: [], isFramed: true }, Buffer.from('ok'));
  });
  for (const socket of sockets) t.equal(await readStatus(socket), 'HTTP/1.1 200');
  const late = connect({ port, host: '127.0.0.1' });
  late.on('error', () => undefined);
  t.teardown(() => late.destroy());
  // Both reach the listener in one turn of its loop, the connection first.
  await new Promise(process.nextTick);
  const status = await readStatus(sockets[0] as Socket).catch((error: unknown) => String(error));
  t.equal(status, 'HTTP/1.1 200');
});
