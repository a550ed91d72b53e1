import { setImmediate } from 'node:timers/promises';
import t from 'tap';
import type { Test } from 'tap';
import { buildServer } from '../../test/support/direct_documents.js';
import type { FakeReply } from '../../test/support/direct_ends.js';
import { DirectHost } from '../../test/support/direct_host.js';
import { settle } from '../../test/support/virtual_clock.js';
import { HttpDirectBackendClient } from '../adapters/direct_http/mod.js';
import { startRawServer, TestDialect } from '../adapters/direct_http/_test_servers.js';
import { ErrorKind, RunOutcome } from '../domain/errors/mod.js';

/** Sends a call whose first answer is an informational one again and again, without end. */
async function callEndlessServer(t: Test, isRepeatable: boolean): Promise<FakeReply> {
  const information = 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100);
  const server = await startRawServer((socket, request) => {
    if (request > 1) {
      socket.write('HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Mark: m\r\nContent-Length: 2\r\n\r\nok');
      return;
    }
    const write = (): void => {
      while (!socket.destroyed && socket.write(information));
    };
    socket.on('drain', write);
    write();
  });
  const client = new HttpDirectBackendClient(new TestDialect());
  const host = new DirectHost({ client });
  t.teardown(() => {
    host.stop();
    client.close();
    server.close();
  });
  await host.start({ route: { isRepeatable } }, []);
  const { address } = server;
  ['s-1', 's-2'].forEach((id) => host.feed.put(`servers/${id}`, buildServer(id, { address })));
  await settle();
  const reply = host.call();
  while (!reply.hasEnded && !reply.error) await setImmediate();
  await server.firstClosed;
  return reply;
}

t.test('a call goes on at another server when its answer never begins', async (t) => {
  // Guards against calls that wait for their deadline at a server which sends no answer.
  t.match(await callEndlessServer(t, true), { body: 'ok', hasEnded: true });
});

t.test('a call that runs once gets an error when its answer never begins', async (t) => {
  // Guards against a second run, and against a caller that waits for its deadline.
  const { error } = await callEndlessServer(t, false);
  t.match(error, { kind: ErrorKind.BackendServerLost, run: RunOutcome.MayHaveRun });
});
