import { once } from 'node:events';
import { connect } from 'node:net';
import t from 'tap';
import type { Test } from 'tap';
import { FakeLog } from '../../../test/support/fakes.js';
import { createMemoryBudgets, divideMemory } from '../../domain/memory/mod.js';
import type { MemoryBudgets } from '../../domain/memory/mod.js';
import { TestDialect } from './_test_servers.js';
import { DirectListener } from './direct_listener.js';

const MEMORY_BYTES = 160_000_000;

/** Room for about ten requests. */
const REQUESTS_BYTES = 150_000;

const REQUEST = 'GET /a HTTP/1.1\r\nHost: a\r\nX-Id: r-1\r\n\r\n';

/** A listener whose calls stay open, and what its callers make it keep. */
interface Listener {
  readonly port: number;
  readonly memory: MemoryBudgets;
  readonly countHandled: () => number;
}

async function startListener(t: Test): Promise<Listener> {
  const shares = { ...divideMemory(MEMORY_BYTES), requests: REQUESTS_BYTES };
  const memory = createMemoryBudgets(shares);
  let handled = 0;
  const listener = new DirectListener({
    dialect: new TestDialect(),
    getLimits: () => ({
      maxHeaderBytes: 10_000,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 60_000,
      idleTimeoutMs: 60_000,
    }),
    mustClose: () => false,
    handle: () => {
      handled += 1;
    },
    log: new FakeLog(),
    memory,
    onCallerTooSlow: () => undefined,
  });
  t.teardown(() => listener.stop());
  return { port: await listener.start('127.0.0.1', 0), memory, countHandled: () => handled };
}

// Guards against a host that ends for lack of memory, since many callers send requests at once.
t.test('the requests of all callers together have a bound', async (t) => {
  const { port, memory } = await startListener(t);
  const sockets = Array.from({ length: 15 }, () => connect({ port, host: '127.0.0.1' }));
  t.teardown(() => sockets.forEach((socket) => socket.destroy()));
  const answers = sockets.map(async (socket) => {
    socket.write(REQUEST);
    const [bytes] = (await once(socket, 'data')) as [Buffer];
    return bytes.toString('latin1', 0, 12);
  });
  t.equal(await Promise.race(answers), 'HTTP/1.1 503');
  t.ok(memory.requests.usedBytes <= REQUESTS_BYTES);
});

// Guards against a host that ends for lack of memory by requests that nobody waits to be answered.
t.test('many requests on one connection close it, and nothing stays counted', async (t) => {
  const { port, memory, countHandled } = await startListener(t);
  const socket = connect({ port, host: '127.0.0.1' }).on('error', () => undefined);
  const closed = once(socket, 'close');
  socket.write(REQUEST.repeat(500));
  await closed;
  while (memory.requests.usedBytes > 0) await new Promise(setImmediate);
  t.ok(countHandled() < 15);
});
