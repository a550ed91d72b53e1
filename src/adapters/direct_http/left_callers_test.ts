/**
 * Tests that calls of callers who have left are neither handled nor sent, in a process that reads late.
 *
 * @module
 */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setImmediate as waitTurn, setTimeout as wait } from 'node:timers/promises';
import t from 'tap';
import type { Test } from 'tap';
import type { BackendListener, BackendRequest, DirectReply } from '../../ports/mod.js';
import { FakeLog } from '../../../test/support/fakes.js';
import { buildRequest, startRawServer, TestDialect } from './_test_servers.js';
import type { RawServer } from './_test_servers.js';
import { DirectListener } from './direct_listener.js';
import { HttpDirectBackendClient } from './http_direct_backend_client.js';

const LIMITS = {
  maxHeaderBytes: 10_000,
  maxBodyBytes: 100_000,
  headerTimeoutMs: 2_000,
  idleTimeoutMs: 2_000,
};

const REQUEST = 'GET /a HTTP/1.1\r\nHost: a\r\nX-Id: r-1\r\n\r\n';

const ANSWER = 'HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Mark: m\r\nContent-Length: 2\r\n\r\nok';

/** Time for which the process reads nothing, in milliseconds. */
const BLOCKED_MS = 60;

/** Wait of a call before it is sent, shorter than the process is blocked, in milliseconds. */
const CALL_WAIT_MS = 20;

/** Time in which a request that was sent has arrived, in milliseconds. */
const ARRIVAL_MS = 200;

const IGNORE_ANSWER: BackendListener = {
  onNotice: () => undefined,
  onHead: () => undefined,
  onBody: () => undefined,
  onComplete: () => undefined,
  onFailure: () => undefined,
};

/** A listener that sends calls to a server after a wait, and a caller's connection to it. */
interface Relay {
  readonly caller: Socket;
  /** Resolves once the call has arrived. */
  readonly called: Promise<void>;
  /** Counts the calls that were handled. */
  readonly countCalls: () => number;
  /** Counts the requests that have reached the server. */
  readonly countRequests: () => number;
}

function blockProcess(): void {
  const untilMs = performance.now() + BLOCKED_MS;
  while (performance.now() < untilMs);
}

function buildBackendRequest({ address }: RawServer): BackendRequest {
  return {
    request: buildRequest('r-1'),
    address,
    serverId: 'engine-1',
    incarnationId: 'engine-1@1',
    accountId: 'firm-a',
    deadlineMs: 900,
    lastEventId: undefined,
    urgency: 0,
  };
}

async function startRelay(t: Test, waitMs: number): Promise<Relay> {
  let requestCount = 0;
  const server = await startRawServer((socket, count) => {
    requestCount = count;
    socket.write(ANSWER);
  });
  const client = new HttpDirectBackendClient(new TestDialect());
  const forward = (reply: DirectReply): void => {
    if (reply.isDisconnected) return;
    const exchange = client.send(buildBackendRequest(server), IGNORE_ANSWER);
    reply.onDisconnect(() => exchange.cancel());
  };
  let callCount = 0;
  let resolveCalled = (): void => undefined;
  const called = new Promise<void>((resolve) => {
    resolveCalled = resolve;
  });
  const listener = new DirectListener({
    dialect: new TestDialect(),
    getLimits: () => LIMITS,
    mustClose: () => false,
    handle: (_request, reply) => {
      callCount += 1;
      resolveCalled();
      if (waitMs === 0) forward(reply);
      else setTimeout(() => forward(reply), waitMs);
    },
    log: new FakeLog(),
    onCallerTooSlow: () => undefined,
  });
  const port = await listener.start('127.0.0.1', 0);
  const caller = connect({ port, host: '127.0.0.1' });
  caller.on('error', () => undefined);
  t.teardown(() => {
    caller.destroy();
    listener.stop();
    client.close();
    server.close();
  });
  await once(caller, 'connect');
  // An open connection to the server takes a request at once.
  await new Promise<void>((resolve) => {
    const probe = client.send(buildBackendRequest(server), {
      ...IGNORE_ANSWER,
      onComplete: resolve,
    });
    t.teardown(() => probe.cancel());
  });
  const before = requestCount;
  return {
    caller,
    called,
    countCalls: () => callCount,
    countRequests: () => requestCount - before,
  };
}

const DEPARTURES = [
  { name: 'closes', leave: (socket: Socket): unknown => socket.destroy() },
  { name: 'resets', leave: (socket: Socket): unknown => socket.resetAndDestroy() },
];

DEPARTURES.forEach(({ name, leave }) => {
  t.test(`a waiting call is not sent once its caller ${name} unread`, async (t) => {
    // Guards against timers that send waiting calls of callers whose close was not read yet.
    const { caller, called, countRequests } = await startRelay(t, CALL_WAIT_MS);
    caller.write(REQUEST);
    await called;
    await waitTurn();
    leave(caller);
    blockProcess();
    await wait(ARRIVAL_MS);
    t.equal(countRequests(), 0);
  });

  t.test(`a call is not handled if its caller ${name} before it is read`, async (t) => {
    // Guards against late processes that spend their time on calls of callers who have left.
    const { caller, countCalls, countRequests } = await startRelay(t, 0);
    caller.write(REQUEST);
    leave(caller);
    blockProcess();
    await wait(ARRIVAL_MS);
    t.equal(countCalls(), 0);
    t.equal(countRequests(), 0);
  });
});

t.test('a call whose caller stays is sent', async (t) => {
  // Guards against requests that are held for good.
  const { caller, called, countRequests } = await startRelay(t, CALL_WAIT_MS);
  caller.write(REQUEST);
  await called;
  blockProcess();
  await wait(ARRIVAL_MS);
  t.equal(countRequests(), 1);
});
