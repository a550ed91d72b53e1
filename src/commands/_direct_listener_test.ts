/**
 * Tests answers that end early at the listener for callers.
 *
 * @module
 */
import { connect } from 'node:net';
import t from 'tap';
import type { Test } from 'tap';
import { DirectHost } from '../../test/support/direct_host.js';
import { PlainDialect } from '../../test/support/plain_dialect.js';
import { createDirectListener } from './_direct_listener.js';

const REQUEST = 'GET /a HTTP/1.1\r\nHost: a\r\nX-Id: r-1\r\n\r\n';

const CHUNK = Buffer.alloc(1_048_576);

/** Five chunks are more than the listener buffers for a caller. */
const CHUNK_COUNT = 5;

/** Plays a caller that reads nothing of its answer. */
async function playUnreadAnswer(t: Test): Promise<{ host: DirectHost; disconnects: number }> {
  const host = new DirectHost();
  let disconnects = 0;
  await new Promise<void>((resolve, reject) => {
    const listener = createDirectListener(host, {
      dialect: new PlainDialect(),
      routing: host.routing,
      mustClose: () => false,
      handle: (_request, reply) => {
        reply.onDisconnect(() => {
          disconnects += 1;
        });
        reply.writeHead({ status: 200, headers: [], isFramed: true });
        for (let count = 0; count < CHUNK_COUNT; count += 1) reply.write(CHUNK);
        setImmediate(resolve);
      },
    });
    t.teardown(() => listener.stop());
    listener.start('127.0.0.1', 0).then((port) => {
      const socket = connect({ port, host: '127.0.0.1' }, () => socket.write(REQUEST));
      socket.on('error', () => undefined);
      t.teardown(() => socket.destroy());
    }, reject);
  });
  return { host, disconnects };
}

t.test('an answer that its caller does not read is logged and counted', async (t) => {
  // Guards against callers who say "no answer" and of whose answers no line tells.
  const { host } = await playUnreadAnswer(t);
  const cause = 'caller_too_slow';
  t.match(host.log.list('answer_broken_off'), [{ requestId: 'r-1', cause, bufferedBytes: Number }]);
  t.equal(host.metrics.counts.get(`answers_broken_off_total${JSON.stringify({ cause })}`), 1);
});

t.test('a call ends once its caller does not read', async (t) => {
  // Guards against servers that work on for callers whose answers were broken off.
  const { disconnects } = await playUnreadAnswer(t);
  t.equal(disconnects, 1);
});
