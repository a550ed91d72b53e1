/**
 * Tests what the log and the metrics tell of answers that end at the listener for callers.
 *
 * @module
 */
import { connect } from 'node:net';
import t from 'tap';
import { DirectHost } from '../../test/support/direct_host.js';
import { PlainDialect } from '../../test/support/plain_dialect.js';
import { createDirectListener } from './_direct_listener.js';

const REQUEST = 'GET /a HTTP/1.1\r\nHost: a\r\nX-Id: r-1\r\n\r\n';

const CHUNK = Buffer.alloc(1_048_576);

t.test('an answer that its caller does not read is logged and counted', async (t) => {
  // Guards against callers who say "no answer" and of whose answers no line tells.
  const host = new DirectHost();
  await new Promise<void>((resolve, reject) => {
    const listener = createDirectListener(host, {
      dialect: new PlainDialect(),
      routing: host.routing,
      mustClose: () => false,
      handle: (_request, reply) => {
        reply.writeHead({ status: 200, headers: [], isFramed: true });
        for (let count = 0; count < 5; count += 1) reply.write(CHUNK);
        resolve();
      },
    });
    t.teardown(() => listener.stop());
    listener.start('127.0.0.1', 0).then((port) => {
      const socket = connect({ port, host: '127.0.0.1' }, () => socket.write(REQUEST));
      socket.on('error', () => undefined);
      t.teardown(() => socket.destroy());
    }, reject);
  });
  const cause = 'caller_too_slow';
  t.match(host.log.list('answer_broken_off'), [{ requestId: 'r-1', cause, bufferedBytes: Number }]);
  t.equal(host.metrics.counts.get(`answers_broken_off_total${JSON.stringify({ cause })}`), 1);
});
