import t from 'tap';
import { buildServer, startDirectHost } from '../../../test/support/direct_host.js';
import type { DocumentChanges } from '../../../test/support/direct_host.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { formatLife } from '../../domain/backend_servers/mod.js';
import { ErrorKind, RunOutcome } from '../../domain/errors/mod.js';
import { BackendFailure } from '../../ports/mod.js';

const STREAM: DocumentChanges = { route: { isStream: true, isResumable: true } };

t.test('what was never written goes to another backend server', async (t) => {
  const host = await startDirectHost(t);
  const reply = host.call();
  host.sent(0).fail(BackendFailure.NotSent);
  t.not(host.sent(1).request.serverId, host.sent(0).request.serverId);
  host.sent(1).answer();
  t.equal(reply.body, 'ok');
});

t.test('a call that must not be repeated is not sent again once it may have run', async (t) => {
  const host = await startDirectHost(t);
  const reply = host.call();
  host.sent(0).fail(BackendFailure.Broken);
  t.equal(host.backend.sent.length, 1);
  t.equal(reply.error?.status, 502);
  t.equal(reply.error?.run, RunOutcome.MayHaveRun);
});

t.test('a repeatable call is sent again, to another backend server', async (t) => {
  const host = await startDirectHost(t, { route: { isRepeatable: true } });
  const reply = host.call();
  host.sent(0).fail(BackendFailure.Broken);
  host.sent(1).answer(200, 'second');
  t.equal(reply.body, 'second');
});

t.test("a call that may have run isn't sent to its server's next life", async (t) => {
  // Symptom: a notice is sent twice.
  // Sequence: a backend server loses power while it works on it, and starts again under
  // its name; the connection to its former life stays silent.
  // Cause: by its name the new life is the one that the request is meant for.
  const host = await startDirectHost(t, {}, ['s-1']);
  const reply = host.call();
  const changes = { serverId: 's-1', bornAtMs: 5 };
  host.feed.put('servers/s-1', buildServer(formatLife('s-1', 5), changes));
  await settle();
  t.equal(reply.error?.run, RunOutcome.MayHaveRun);
  t.ok(host.sent(0).isCancelled);
  t.equal(host.backend.sent.length, 1);
});

t.test('a resumable stream goes on at once when its server has started anew', async (t) => {
  const host = await startDirectHost(t, STREAM, ['s-1']);
  const reply = host.call();
  host.sent(0).head({ isEventStream: true });
  host.sent(0).events(1, 2);
  const changes = { serverId: 's-1', bornAtMs: 5 };
  host.feed.put('servers/s-1', buildServer(formatLife('s-1', 5), changes));
  host.feed.put('servers/s-2', buildServer('s-2'));
  await settle();
  t.match(host.sent(1).request, { lastEventId: '2', serverId: /s-1|s-2/ });
  t.notOk(reply.isAborted);
});

t.test("a server's own error is passed on where nobody else can take over", async (t) => {
  const host = await startDirectHost(t);
  const reply = host.call();
  host.sent(0).answer(500, 'failed');
  t.match(reply, { head: { status: 500 }, body: 'failed' });
});

t.test('a status that promises that nothing ran is not passed on from a run', async (t) => {
  // Symptom: a caller repeats a notice that was sent already.
  // Sequence: a backend server answers 503 without saying that it did not run it.
  // Cause: a proxy's status means "not run" to callers, whoever wrote it.
  const host = await startDirectHost(t);
  const reply = host.call();
  host.sent(0).answer(503, 'busy');
  t.equal(reply.error?.status, 502);
});

t.test('a declined call is refused as not run, with when to come back', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1']);
  const reply = host.call();
  host.sent(0).fail(BackendFailure.Declined);
  await host.clock.advance(1_500);
  t.equal(reply.error?.run, RunOutcome.NotRun);
  t.ok((reply.error?.retryAfterMs ?? 0) > 0);
});

t.test('a stream goes on elsewhere behind its last whole event', async (t) => {
  // Symptom: pieces of a report are missing or come twice.
  // Sequence: a stream breaks in the middle of an event; another server goes on.
  // Cause: half an event had been passed on, or the wrong one was asked for next.
  const host = await startDirectHost(t, STREAM);
  const reply = host.call();
  host.sent(0).head({ isEventStream: true });
  host.sent(0).events(1, 3);
  host.sent(0).listener.onBody(Buffer.from('id: 4\ndata: ha'));
  host.sent(0).fail(BackendFailure.Broken);
  t.equal(host.sent(1).request.lastEventId, '3');
  host.sent(1).head({ isEventStream: true });
  host.sent(1).events(4, 5);
  host.sent(1).listener.onWhole();
  t.equal(reply.body, [1, 2, 3, 4, 5].map((id) => `id: ${id}\ndata: ${id}\n\n`).join(''));
  t.same(reply.head?.headers, ['X-Mark', host.sent(0).request.serverId]);
  t.ok(reply.hasEnded);
});

t.test('a stream that may not go on elsewhere is broken off, not ended', async (t) => {
  const host = await startDirectHost(t, { route: { isStream: true, isResumable: false } });
  const reply = host.call();
  host.sent(0).head({ isEventStream: true });
  host.sent(0).events(1, 1);
  host.sent(0).fail(BackendFailure.Broken);
  t.match(reply, { isAborted: true, hasEnded: false });
});

t.test('a silent stream is cancelled before another server goes on', async (t) => {
  const host = await startDirectHost(t, STREAM);
  host.call();
  host.sent(0).head({ isEventStream: true });
  host.sent(0).events(1, 1);
  await host.clock.advance(1_000);
  t.ok(host.sent(0).isCancelled);
  t.equal(host.sent(1).request.lastEventId, '1');
});

t.test('a stream is watched by its pauses once it has begun', async (t) => {
  // Symptom: a stream of a long prompt stands still for nine seconds.
  // Sequence: its first event comes early, then nothing.
  // Cause: the next look at it was set by the time that its first byte might have taken.
  const host = await startDirectHost(t, { route: { ...STREAM.route, timeoutMs: 30_000 } });
  host.call({ work: { promptTokens: 300_000, outputTokens: 100 }, deadlineMs: 20_000 });
  host.sent(0).head({ isEventStream: true });
  host.sent(0).events(1, 1);
  await host.clock.advance(1_000);
  t.ok(host.sent(0).isCancelled);
});

t.test('a caller that leaves ends the run', async (t) => {
  const host = await startDirectHost(t);
  const reply = host.call();
  reply.leave();
  t.ok(host.sent(0).isCancelled);
  t.equal(host.gateway.callCount, 0);
});

t.test('a call ends with its time, and says whether it may have run', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1']);
  const sent = host.call();
  await host.clock.advance(2_000);
  t.equal(sent.error?.kind, ErrorKind.AnswerTimeout);
  t.ok(host.sent(0).isCancelled);
});

t.test('a call whose time ends before its connection is open has not run', async (t) => {
  // Guards against callers who may not repeat what has reached no server.
  const host = await startDirectHost(t, {}, ['s-1']);
  const reply = host.call();
  host.sent(0).mayHaveLeft = false;
  await host.clock.advance(2_000);
  t.equal(reply.error?.kind, ErrorKind.DeadlineUnreachable);
  t.equal(reply.error?.run, 'not_run');
  t.ok(host.sent(0).isCancelled);
});

t.test("the route's timeout ends a call whose caller would wait longer", async (t) => {
  const host = await startDirectHost(t, { route: { timeoutMs: 500 } });
  const reply = host.call({ deadlineMs: 9_000 });
  t.equal(host.sent(0).request.deadlineMs, 500);
  await host.clock.advance(500);
  t.equal(reply.error?.status, 504);
});

t.test(
  'a stream that broke before its first event begins anew, with the head of who answers',
  async (t) => {
    // Symptom: an answer bears the mark of a backend server that sent none of it.
    // Sequence: a stream breaks behind its head; another server runs the request from its start.
    // Cause: the first head was kept although nothing had been passed on.
    const host = await startDirectHost(t, STREAM);
    const reply = host.call();
    host.sent(0).head({ isEventStream: true });
    host.sent(0).fail(BackendFailure.Broken);
    t.equal(host.sent(1).request.lastEventId, undefined);
    host.sent(1).head({ isEventStream: true });
    host.sent(1).events(1, 1);
    t.same(reply.head?.headers, ['X-Mark', host.sent(1).request.serverId]);
  },
);

t.test('an answer that was begun and can not be joined is broken off', async (t) => {
  // Symptom: a caller gets the start of one answer and the whole of another.
  // Sequence: a repeatable call's long answer is passed on as it comes and breaks; or a
  // stream whose events have no IDs does.
  // Cause: the call was sent again although there was nothing to go on from.
  const long = await startDirectHost(t, { route: { isRepeatable: true } });
  const plain = long.call();
  long.sent(0).head();
  long.sent(0).listener.onBody(Buffer.alloc(300_000));
  long.sent(0).fail(BackendFailure.Broken);
  t.equal(long.backend.sent.length, 1);
  t.ok(plain.isAborted);
  const nameless = await startDirectHost(t, STREAM);
  const stream = nameless.call();
  nameless.sent(0).head({ isEventStream: true });
  nameless.sent(0).listener.onBody(Buffer.from('data: a\n\n'));
  nameless.sent(0).fail(BackendFailure.Broken);
  t.equal(nameless.backend.sent.length, 1);
  t.ok(stream.isAborted);
});

t.test('what is not the rest of a begun stream is never joined to it', async (t) => {
  // Symptom: an error's body stands in the middle of a report, or the call never ends.
  // Sequence: a stream breaks; the server that is to go on answers with an error, or
  // with a plain answer.
  // Cause: any answer was passed on, whatever had been passed on before.
  for (const status of [500, 200, 404]) {
    const host = await startDirectHost(t, STREAM);
    const reply = host.call();
    host.sent(0).head({ isEventStream: true });
    host.sent(0).events(1, 2);
    host.sent(0).fail(BackendFailure.Broken);
    host.sent(1).answer(status, 'other');
    t.match(reply, { isAborted: true, hasEnded: false }, String(status));
    t.notMatch(reply.body, 'other');
    t.equal(host.gateway.callCount, 0);
  }
});
