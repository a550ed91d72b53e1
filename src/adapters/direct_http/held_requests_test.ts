import { once } from 'node:events';
import { connect } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import t from 'tap';
import { FakeLog } from '../../../test/support/fakes.js';
import { TestDialect } from './_test_servers.js';
import { DirectListener } from './direct_listener.js';

const REQUEST = 'GET /a HTTP/1.1\r\nHost: a\r\nX-Id: r-1\r\n\r\n';

/** Requests that are sent behind one that is not answered; their heads take 4 MB. */
const REQUEST_COUNT = 100_000;

/** Many times what a caller that doesn't wait for its answers has under way. */
const MAX_HELD_REQUESTS = 2_000;

/** Turns of the event loop without another head after which none is read any more. */
const QUIET_TURNS = 500;

t.test('one connection does not bring requests without end behind an open one', async (t) => {
  // Guards against a caller whose waiting requests take the memory of the process, which ends.
  let headCount = 0;
  const dialect = new TestDialect();
  const readCall = dialect.readCall.bind(dialect);
  dialect.readCall = (headers) => {
    headCount += 1;
    return readCall(headers);
  };
  const listener = new DirectListener({
    dialect,
    getLimits: () => ({
      maxHeaderBytes: 10_000,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 60_000,
      idleTimeoutMs: 60_000,
    }),
    mustClose: () => false,
    handle: () => undefined,
    log: new FakeLog(),
    onCallerTooSlow: () => undefined,
  });
  const socket = connect({ port: await listener.start('127.0.0.1', 0), host: '127.0.0.1' });
  socket.on('error', () => undefined);
  t.teardown(() => {
    socket.destroy();
    listener.stop();
  });
  await once(socket, 'connect');
  socket.write(REQUEST.repeat(REQUEST_COUNT));
  let quietTurns = 0;
  while (quietTurns < QUIET_TURNS && headCount <= MAX_HELD_REQUESTS) {
    const before = headCount;
    await setImmediate();
    quietTurns = headCount === before && headCount > 0 ? quietTurns + 1 : 0;
  }
  t.ok(headCount <= MAX_HELD_REQUESTS, `${headCount} requests were read`);
});
