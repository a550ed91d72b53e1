/**
 * Tests empty answers without a length, which servers mean so or have broken off.
 *
 * @module
 */
import t from 'tap';
import { startDirectHost } from '../../../test/support/direct_host.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { ErrorKind } from '../../domain/errors/mod.js';
import { BackendFailure, Reachability } from '../../ports/mod.js';

const READ = { isRepeatable: true, maxAttempts: 2, timeoutMs: 2_000 };

async function answerEmpty(host: DirectHost, status: number): Promise<void> {
  const first = host.getSent(0);
  first.sendHead({ status, isFramed: false });
  first.listener.onComplete();
  await settle();
}

t.test('an empty answer is not passed on as whole once another server is asked', async (t) => {
  // Guards against answers that a server broke off behind their head, and that look complete.
  for (const end of ['lost', 'deadline', 'stop'] as const) {
    const host = await startDirectHost(t, { route: READ });
    const reply = host.call();
    await answerEmpty(host, 200);
    if (end === 'lost') host.getSent(1).fail(BackendFailure.Lost);
    else if (end === 'deadline') await host.clock.advance(READ.timeoutMs);
    else host.gateway.stopAllCalls();
    t.equal(reply.head, undefined, end);
    t.ok(reply.error, end);
  }
});

t.test('an empty answer is passed on where no other server may be asked', async (t) => {
  const host = await startDirectHost(t, { route: { ...READ, maxAttempts: 1 } });
  const reply = host.call();
  await answerEmpty(host, 200);
  t.equal(reply.head?.status, 200);
});

t.test('an empty answer of a server that has ended is not passed on', async (t) => {
  // Guards against an empty answer that looks whole since the process behind it was killed.
  const host = await startDirectHost(t, { route: { ...READ, maxAttempts: 1 } });
  const reply = host.call();
  host.probe.fixedResult = Reachability.Refused;
  await answerEmpty(host, 200);
  t.equal(reply.head, undefined);
  t.equal(reply.error?.kind, ErrorKind.BackendServerLost);
});

t.test('a stream that ends before its first event is not passed on', async (t) => {
  // Guards against a stream without any event that looks whole since its server closed it.
  for (const [lastEventId, status] of [
    [undefined, undefined],
    ['4', 200],
  ] as const) {
    const host = await startDirectHost(t, { route: { ...READ, isStream: true, maxAttempts: 1 } });
    // Long enough for the host to infer the version that began the stream.
    await host.clock.advance(35_000);
    const reply = host.call({ lastEventId });
    await host.clock.advance(500);
    const first = host.getSent(0);
    first.sendHead({ isFramed: false, isEventStream: true });
    first.listener.onComplete();
    await settle();
    t.equal(reply.head?.status, status, `after event ${lastEventId}`);
    t.equal(reply.error === undefined, status === 200, `after event ${lastEventId}`);
  }
});

t.test('a server error is passed on once time is over', async (t) => {
  const host = await startDirectHost(t, { route: READ });
  const reply = host.call();
  await answerEmpty(host, 500);
  await host.clock.advance(READ.timeoutMs);
  t.equal(reply.head?.status, 500);
});
