import t from 'tap';
import { buildDocument, buildServer, startDirectHost } from '../../../test/support/direct_host.js';
import type { DocumentChanges } from '../../../test/support/direct_host.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { formatIncarnationId } from '../../domain/backend_servers/mod.js';
import { ErrorKind, RunOutcome } from '../../domain/errors/mod.js';
import { BackendFailure } from '../../ports/mod.js';

const STREAM: DocumentChanges = { route: { isStream: true, isResumable: true } };

t.test('a request that was never written is sent to another backend server', async (t) => {
  const host = await startDirectHost(t);
  const reply = host.call();
  host.getSent(0).fail(BackendFailure.NotSent);
  t.not(host.getSent(1).request.serverId, host.getSent(0).request.serverId);
  host.getSent(1).sendResponse();
  t.equal(reply.body, 'ok');
});

t.test('a non-repeatable call is not sent again once it may have run', async (t) => {
  const host = await startDirectHost(t);
  const reply = host.call();
  host.getSent(0).fail(BackendFailure.Broken);
  t.equal(host.backend.sent.length, 1);
  t.equal(reply.error?.status, 502);
  t.equal(reply.error?.run, RunOutcome.MayHaveRun);
});

t.test('a repeatable call is retried at another backend server', async (t) => {
  const host = await startDirectHost(t, { route: { isRepeatable: true } });
  const reply = host.call();
  host.getSent(0).fail(BackendFailure.Broken);
  host.getSent(1).sendResponse(200, 'second');
  t.equal(reply.body, 'second');
});

t.test('requests that show no sign of arrival earn no retries', async (t) => {
  // Guards against a budget that grows while nothing arrives, just when retries do most harm.
  const servers = ['s-1', 's-2', 's-3', 's-4'];
  const host = await startDirectHost(t, { route: { isRepeatable: true } }, servers);
  host.backend.onSend = (exchange) =>
    host.clock.setTimer(1, () => exchange.fail(BackendFailure.Lost));
  for (let count = 0; count < 200; count += 1) {
    host.call();
    await host.clock.advance(20);
  }
  const slackShare = 0.4 * 50;
  t.equal(host.backend.sent.length - 200, slackShare);
});

t.test("a call that may have run isn't sent to its server's next incarnation", async (t) => {
  // Guards against sending a notice twice. A backend server loses power while it works on the
  // notice, and restarts under the same name; the connection to its previous incarnation stays
  // silent. By its name alone, the new incarnation looks like the server that has the request.
  const host = await startDirectHost(t, {}, ['s-1']);
  const reply = host.call();
  const changes = { serverId: 's-1', bornAtMs: 5 };
  host.feed.put('servers/s-1', buildServer(formatIncarnationId('s-1', 5), changes));
  await host.clock.advance(200);
  t.equal(reply.error?.run, RunOutcome.MayHaveRun);
  t.ok(host.getSent(0).isCancelled);
  t.equal(host.backend.sent.length, 1);
});

t.test('a resumable stream fails over at once when its server restarts', async (t) => {
  const host = await startDirectHost(t, STREAM, ['s-1']);
  const reply = host.call();
  host.getSent(0).sendHead({ isEventStream: true });
  host.getSent(0).events(1, 2);
  const changes = { serverId: 's-1', bornAtMs: 5 };
  host.feed.put('servers/s-1', buildServer(formatIncarnationId('s-1', 5), changes));
  host.feed.put('servers/s-2', buildServer('s-2'));
  await settle();
  t.match(host.getSent(1).request, { lastEventId: '2', serverId: /s-1|s-2/ });
  t.notOk(reply.isAborted);
});

t.test(
  'a call that may have run is not told that it did not, when its key is revoked',
  async (t) => {
    // Guards against callers that repeat a request elsewhere although it ran.
    const route = { isRepeatable: true };
    const host = await startDirectHost(t, { route });
    const reply = host.call();
    host.feed.put('configuration', buildDocument(2, { route, keys: ['key-b'] }));
    await settle();
    host.getSent(0).fail(BackendFailure.Lost);
    t.equal(host.backend.sent.length, 1);
    t.equal(reply.error?.run, RunOutcome.MayHaveRun);
  },
);

t.test("a server's own error is relayed when no other server can take over", async (t) => {
  const host = await startDirectHost(t);
  const reply = host.call();
  host.getSent(0).sendResponse(500, 'failed');
  t.match(reply, { head: { status: 500 }, body: 'failed' });
});

t.test('a status that means "not run" is not relayed from a run', async (t) => {
  // Guards against callers that repeat a notice which was already sent. A backend server answers
  // 503 without stating that it did not run the request; to callers, this status means "not run",
  // whoever wrote it.
  const host = await startDirectHost(t);
  const reply = host.call();
  host.getSent(0).sendResponse(503, 'busy');
  t.equal(reply.error?.status, 502);
});

t.test('a declined call is refused as not run, with a retry-after time', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1']);
  const reply = host.call();
  host.getSent(0).fail(BackendFailure.Declined);
  await host.clock.advance(1_500);
  t.equal(reply.error?.run, RunOutcome.NotRun);
  t.ok((reply.error?.retryAfterMs ?? 0) > 0);
});

t.test('a stream continues at another server after its last complete event', async (t) => {
  // Guards against missing or repeated parts of a report. A stream breaks in the middle of an
  // event and another server continues it; an incomplete event must not be relayed, and the
  // next server must be asked for the right event.
  const host = await startDirectHost(t, STREAM);
  const reply = host.call();
  host.getSent(0).sendHead({ isEventStream: true });
  host.getSent(0).events(1, 3);
  host.getSent(0).listener.onBody(Buffer.from('id: 4\ndata: ha'));
  host.getSent(0).fail(BackendFailure.Broken);
  t.equal(host.getSent(1).request.lastEventId, '3');
  host.getSent(1).sendHead({ isEventStream: true });
  host.getSent(1).events(4, 5);
  host.getSent(1).listener.onComplete();
  t.equal(reply.body, [1, 2, 3, 4, 5].map((id) => `id: ${id}\ndata: ${id}\n\n`).join(''));
  t.same(reply.head?.headers, ['X-Mark', host.getSent(0).request.serverId]);
  t.ok(reply.hasEnded);
});

t.test('a stream that may not be resumed is aborted, not ended', async (t) => {
  const host = await startDirectHost(t, { route: { isStream: true, isResumable: false } });
  const reply = host.call();
  host.getSent(0).sendHead({ isEventStream: true });
  host.getSent(0).events(1, 1);
  host.getSent(0).fail(BackendFailure.Broken);
  t.match(reply, { isAborted: true, hasEnded: false });
});

t.test('a silent stream is cancelled before another server continues it', async (t) => {
  const host = await startDirectHost(t, STREAM);
  const reply = host.call();
  host.getSent(0).sendHead({ isEventStream: true });
  host.getSent(0).events(1, 1);
  await host.clock.advance(1_450);
  t.equal(host.getSent(1).request.lastEventId, '1');
  await host.clock.advance(200);
  t.ok(host.getSent(0).isCancelled);
  host.getSent(0).events(2, 2);
  host.getSent(1).sendHead({ isEventStream: true });
  host.getSent(1).events(2, 2);
  t.equal(reply.body, 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n');
});

t.test('a stream is checked for pauses once it has begun', async (t) => {
  // Guards against a stream of a long prompt that stalls for nine seconds unnoticed. Its first
  // event arrives early and no other follows; the next check must not be scheduled by the time
  // that the first byte might have taken.
  const host = await startDirectHost(t, { route: { ...STREAM.route, timeoutMs: 30_000 } });
  host.call({ work: { promptTokens: 300_000, outputTokens: 100 }, deadlineMs: 20_000 });
  host.getSent(0).sendHead({ isEventStream: true });
  host.getSent(0).events(1, 1);
  await host.clock.advance(1_450);
  t.equal(host.backend.sent.length, 2);
  await host.clock.advance(200);
  t.ok(host.getSent(0).isCancelled);
});

t.test('a server that is silent for a second ends nothing', async (t) => {
  // Guards against streams that are moved, and servers that are left alone, for a short silence.
  for (const events of [0, 1]) {
    const host = await startDirectHost(t, STREAM);
    const reply = host.call({ deadlineMs: 8_000 });
    if (events > 0) {
      host.getSent(0).sendHead({ isEventStream: true });
      host.getSent(0).events(1, events);
    }
    await host.clock.advance(1_300);
    t.notOk(host.getSent(0).isCancelled);
    t.same(host.servers.loads.countAvoiding(), {});
    if (events === 0) host.getSent(0).sendHead({ isEventStream: true });
    host.getSent(0).events(events + 1, 3);
    host.getSent(0).listener.onComplete();
    t.equal(reply.body, 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n');
    t.equal(host.backend.sent.length, 1);
  }
});

t.test('a disconnected caller ends the run', async (t) => {
  const host = await startDirectHost(t);
  const reply = host.call();
  reply.disconnect();
  t.ok(host.getSent(0).isCancelled);
  t.equal(host.gateway.callCount, 0);
});

t.test('a call that times out reports that it may have run', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1']);
  const sent = host.call();
  await host.clock.advance(2_000);
  t.equal(sent.error?.kind, ErrorKind.AnswerTimeout);
  t.ok(host.getSent(0).isCancelled);
});

t.test('a call that times out before its connection opens has not run', async (t) => {
  // Guards against forbidding callers to repeat a request that reached no server.
  const host = await startDirectHost(t, {}, ['s-1']);
  const reply = host.call();
  host.getSent(0).mayHaveBeenSent = false;
  await host.clock.advance(2_000);
  t.equal(reply.error?.kind, ErrorKind.DeadlineUnreachable);
  t.equal(reply.error?.run, 'not_run');
  t.ok(host.getSent(0).isCancelled);
});

t.test('the time for which a call was held on its connection is part of its own', async (t) => {
  // Guards against servers that are handed more time than the caller and the route have left.
  const host = await startDirectHost(t);
  const reply = host.call({ deadlineMs: 1_000, heldMs: 400 });
  t.equal(host.getSent(0).request.deadlineMs, 600);
  await host.clock.advance(600);
  t.equal(reply.error?.kind, ErrorKind.AnswerTimeout);
  const late = host.call({ deadlineMs: 1_000, heldMs: 1_000 });
  t.equal(late.error?.run, RunOutcome.NotRun);
  t.equal(host.backend.sent.length, 1);
});

t.test("the route's timeout ends a call whose deadline is later", async (t) => {
  const host = await startDirectHost(t, { route: { timeoutMs: 500 } });
  const reply = host.call({ deadlineMs: 9_000 });
  t.equal(host.getSent(0).request.deadlineMs, 500);
  await host.clock.advance(500);
  t.equal(reply.error?.status, 504);
});

t.test(
  "a stream that breaks before its first event starts over with the new server's head",
  async (t) => {
    // Guards against an answer with the headers of a backend server that sent no part of it. A
    // stream breaks after its head, and another server runs the request from the start; the
    // first head must be discarded because nothing was relayed.
    const host = await startDirectHost(t, STREAM);
    const reply = host.call();
    host.getSent(0).sendHead({ isEventStream: true });
    host.getSent(0).fail(BackendFailure.Broken);
    t.equal(host.getSent(1).request.lastEventId, undefined);
    host.getSent(1).sendHead({ isEventStream: true });
    host.getSent(1).events(1, 1);
    t.same(reply.head?.headers, ['X-Mark', host.getSent(1).request.serverId]);
  },
);

t.test('an answer that has begun and can not be resumed is aborted', async (t) => {
  // Guards against a caller that gets the start of one answer and the whole of another: a long
  // answer of a repeatable call breaks while it is relayed, or a stream breaks whose events have
  // no IDs. In both cases a retry has no position to continue from.
  const long = await startDirectHost(t, { route: { isRepeatable: true } });
  const plain = long.call();
  long.getSent(0).sendHead();
  long.getSent(0).listener.onBody(Buffer.alloc(300_000));
  long.getSent(0).fail(BackendFailure.Broken);
  t.equal(long.backend.sent.length, 1);
  t.ok(plain.isAborted);
  const nameless = await startDirectHost(t, STREAM);
  const stream = nameless.call();
  nameless.getSent(0).sendHead({ isEventStream: true });
  nameless.getSent(0).listener.onBody(Buffer.from('data: a\n\n'));
  nameless.getSent(0).fail(BackendFailure.Broken);
  t.equal(nameless.backend.sent.length, 1);
  t.ok(stream.isAborted);
});

t.test('an answer that does not continue a begun stream is never appended to it', async (t) => {
  // Guards against an error body in the middle of a report, and against calls that never end. A
  // stream breaks, and the server that should continue it answers with an error or a plain
  // answer.
  for (const status of [500, 200, 404]) {
    const host = await startDirectHost(t, STREAM);
    const reply = host.call();
    host.getSent(0).sendHead({ isEventStream: true });
    host.getSent(0).events(1, 2);
    host.getSent(0).fail(BackendFailure.Broken);
    host.getSent(1).sendResponse(status, 'other');
    t.match(reply, { isAborted: true, hasEnded: false }, String(status));
    t.notMatch(reply.body, 'other');
    t.equal(host.gateway.callCount, 0);
  }
});
