import t from 'tap';
import { ErrorKind } from '../../domain/errors/mod.js';
import { startDirectHost } from '../../../test/support/direct_host.js';
import type { FakeReply } from '../../../test/support/direct_ends.js';

const WRITE = { isRepeatable: false, maxAttempts: 1 };

/** Longer than what is buffered before an answer is passed on as it arrives. */
const LONG_BODY = Buffer.alloc(320_000);

/** Calls a server that runs the request, and answers with a status and a long body. */
async function callFailingServer(status: number): Promise<FakeReply> {
  const host = await startDirectHost(t, { route: WRITE });
  const reply = host.call();
  const exchange = host.getSent(0);
  exchange.sendHead({ status });
  exchange.listener.onBody(LONG_BODY);
  exchange.listener.onComplete();
  return reply;
}

// Guards against a request that runs twice, as its caller was told that it had not run.
[408, 421, 429, 503].forEach((status) => {
  t.test(`a long answer of status ${status} is no promise that nothing ran`, async (t) => {
    const reply = await callFailingServer(status);
    t.equal(reply.head, undefined);
    t.equal(reply.error?.kind, ErrorKind.BackendServerLost);
  });
});

t.test('a long answer of status 500 is passed on', async (t) => {
  const reply = await callFailingServer(500);
  t.equal(reply.head?.status, 500);
});
