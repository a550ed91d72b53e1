/**
 * Tests answers without a length that end with their connection, at which their server may have ended.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { buildServer, startDirectHost } from '../../../test/support/direct_host.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import type { FakeReply } from '../../../test/support/direct_ends.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { Reachability } from '../../ports/mod.js';
import type { Route } from '../../domain/routing/mod.js';

const READ: Partial<Route> = { isRepeatable: true, maxAttempts: 2, timeoutMs: 2_000 };
const STREAM: Partial<Route> = { ...READ, isStream: true, isResumable: true };

/** Starts a host whose first server sends part of an answer and closes its connection. */
async function startAtEnd(
  t: Test,
  route: Partial<Route>,
  reachability: Reachability,
): Promise<{ readonly host: DirectHost; readonly reply: FakeReply }> {
  const host = await startDirectHost(t, { route }, ['s-1', 's-2']);
  const reply = host.call();
  const first = host.getSent(0);
  host.probe.fixedResult = reachability;
  first.sendHead({ isFramed: false, isEventStream: route.isStream === true });
  if (route.isStream) first.events(1, 2);
  else first.listener.onBody(Buffer.from('part'));
  first.listener.onComplete();
  await settle();
  return { host, reply };
}

t.test('a stream goes on elsewhere if its server ended between two events', async (t) => {
  // Guards against a stream that looks complete since the process behind it was killed.
  const { host, reply } = await startAtEnd(t, STREAM, Reachability.Refused);
  t.notOk(reply.hasEnded);
  const second = host.getSent(1);
  t.equal(second.request.lastEventId, '2');
  second.sendHead({ isEventStream: true });
  second.events(3, 4);
  second.listener.onComplete();
  t.match(reply.body, /id: 2\n.*id: 3\n.*id: 4\n/s);
  t.ok(reply.hasEnded);
});

t.test('a stream that may not go on is broken off if its server ended', async (t) => {
  // Guards against the same where no other server may be asked.
  const { reply } = await startAtEnd(t, { ...STREAM, maxAttempts: 1 }, Reachability.Refused);
  t.ok(reply.isAborted);
});

t.test('a plain answer is asked for again if its server ended', async (t) => {
  // Guards against a short answer that looks complete since the process behind it was killed.
  const { host, reply } = await startAtEnd(t, READ, Reachability.Refused);
  t.equal(reply.head, undefined);
  host.getSent(1).sendResponse(200, 'whole');
  t.equal(reply.body, 'whole');
});

t.test('an answer without a length is whole while its server listens', async (t) => {
  for (const reachability of [Reachability.Open, Reachability.Unknown]) {
    const stream = await startAtEnd(t, STREAM, reachability);
    t.ok(stream.reply.hasEnded, reachability);
    const plain = await startAtEnd(t, READ, reachability);
    t.match(plain.reply, { body: 'part', hasEnded: true }, reachability);
  }
});

t.test('an answer without a length is whole if its server leaves', async (t) => {
  // Guards against whole answers that are lost as a server stops listening before it has sent them.
  const host = await startDirectHost(t, { route: READ });
  const reply = host.call();
  host.feed.put('servers/s-1', buildServer('s-1', { isLeaving: true }));
  await settle();
  host.probe.fixedResult = Reachability.Refused;
  host.getSent(0).sendResponse(200, 'whole', false);
  await settle();
  t.match(reply, { body: 'whole', hasEnded: true });
});

t.test('a call that ends while its server is probed gets no second end', async (t) => {
  const host = await startDirectHost(t, { route: READ });
  const reply = host.call();
  host.probe.waitForResult = () => new Promise<void>(() => {});
  host.getSent(0).sendResponse(200, 'part', false);
  await host.clock.advance(2_000);
  t.ok(reply.error);
  t.equal(reply.body, '');
});
