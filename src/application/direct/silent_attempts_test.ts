/**
 * Tests two attempts of one call: one that is silent, and another one beside it.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { buildDocument, startDirectHost } from '../../../test/support/direct_host.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import type { FakeReply } from '../../../test/support/direct_ends.js';
import { BackendFailure } from '../../ports/mod.js';

const STREAM = {
  isStream: true,
  isResumable: true,
  timeoutMs: 8_000,
  targetMs: 200,
  targetGapMs: 100,
  maxAttempts: 2,
};

const READ = { isRepeatable: true, timeoutMs: 2_000, targetMs: 200, maxAttempts: 2 };

const REQUEST = { deadlineMs: 8_000 };

interface SilentStream {
  readonly host: DirectHost;
  readonly reply: FakeReply;
}

/** Starts a stream whose server falls silent after its second event, until another one is asked. */
async function startSilentStream(t: Test): Promise<SilentStream> {
  const host = await startDirectHost(t, { route: STREAM }, ['s-1', 's-2']);
  const reply = host.call(REQUEST);
  host.getSent(0).sendHead({ isEventStream: true });
  host.getSent(0).events(1, 2);
  await host.clock.advance(1_450);
  t.equal(host.backend.sent.length, 2, 'another server is asked');
  t.notOk(host.getSent(0).isCancelled, 'the silent one is kept');
  return { host, reply };
}

/** Lets attempts fail until the retry budget grants no more. */
function useUpRetries(host: DirectHost): void {
  while (host.log.list('retry_refused').length === 0) {
    host.call(REQUEST);
    host.backend.sent.at(-1)?.fail();
    host.backend.sent.at(-1)?.sendResponse();
  }
}

function listEventIds({ body }: FakeReply): string[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => String(id));
}

t.test('a stream stays at its silent server while its key is revoked', async (t) => {
  // Guards against streams that are given up for a server which they may not be sent to.
  const host = await startDirectHost(t, { route: STREAM }, ['s-1', 's-2']);
  const reply = host.call(REQUEST);
  host.getSent(0).sendHead({ isEventStream: true });
  host.getSent(0).events(1, 1);
  await host.clock.advance(500);
  host.feed.put('configuration', buildDocument(2, { route: STREAM, keys: ['key-b'] }));
  await host.clock.advance(1_500);
  t.notOk(host.getSent(0).isCancelled);
  t.match(host.log.list('attempt_kept'), [{ reason: 'not_allowed' }]);
  host.getSent(0).events(2, 3);
  host.getSent(0).listener.onComplete();
  t.ok(reply.hasEnded && !reply.isAborted);
  t.same(listEventIds(reply), ['1', '2', '3']);
});

t.test('a stream stays at its silent server if the other one declines it', async (t) => {
  // Guards against streams that are given up for a server that turns out to be full.
  const { host, reply } = await startSilentStream(t);
  host.getSent(1).fail(BackendFailure.Declined);
  await host.clock.advance(500);
  t.notOk(host.getSent(0).isCancelled);
  host.getSent(0).events(3, 4);
  host.getSent(0).listener.onComplete();
  t.ok(reply.hasEnded && !reply.isAborted);
  t.same(listEventIds(reply), ['1', '2', '3', '4']);
});

t.test('a silent stream is offered to a few servers only', async (t) => {
  // Guards against a silent stream whose offers use the retry budget of its service up.
  const servers = ['s-1', 's-2', 's-3', 's-4', 's-5', 's-6', 's-7', 's-8'];
  const host = await startDirectHost(t, { route: STREAM }, servers);
  host.backend.onSend = (exchange) => {
    if (host.backend.sent.length > 1)
      host.clock.setTimer(1, () => exchange.fail(BackendFailure.Declined));
  };
  host.call(REQUEST);
  await host.clock.advance(6_000);
  t.equal(host.backend.sent.length, 4);
  t.notOk(host.getSent(0).isCancelled);
});

t.test('a silent server that goes on keeps its stream', async (t) => {
  // Guards against events that come twice, from a silent server and from the one asked beside it.
  const { host, reply } = await startSilentStream(t);
  host.getSent(0).events(3, 3);
  t.ok(host.getSent(1).isCancelled);
  host.getSent(1).sendHead({ isEventStream: true });
  host.getSent(1).events(3, 5);
  host.getSent(0).events(4, 4);
  host.getSent(0).listener.onComplete();
  t.ok(reply.hasEnded);
  t.same(listEventIds(reply), ['1', '2', '3', '4']);
});

t.test('a stream goes on at the other server with whole events', async (t) => {
  // Guards against pieces of an event that two servers have sent.
  const host = await startDirectHost(t, { route: STREAM }, ['s-1', 's-2']);
  const reply = host.call(REQUEST);
  host.getSent(0).sendHead({ isEventStream: true });
  host.getSent(0).events(1, 1);
  host.getSent(0).listener.onBody(Buffer.from('id: 2\nda'));
  await host.clock.advance(1_450);
  host.getSent(1).sendHead({ isEventStream: true });
  t.notOk(host.getSent(0).isCancelled, 'a head alone brings nothing');
  host.getSent(1).events(2, 3);
  t.ok(host.getSent(0).isCancelled);
  host.getSent(0).listener.onBody(Buffer.from('ta: 2\n\n'));
  host.getSent(1).listener.onComplete();
  t.ok(reply.hasEnded && !reply.isAborted);
  t.equal(reply.body, 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n');
});

t.test('two servers work on one stream for a moment only', async (t) => {
  // Guards against a run that goes on unnoticed while another server has taken the stream.
  const { host } = await startSilentStream(t);
  await host.clock.advance(200);
  t.ok(host.getSent(0).isCancelled);
  t.notOk(host.getSent(1).isCancelled);
});

t.test('a server has its moment to decline a stream from when it has the request', async (t) => {
  // Guards against streams that are given up for a server whose connection opened late.
  const host = await startDirectHost(t, { route: STREAM }, ['s-1', 's-2']);
  host.call(REQUEST);
  host.getSent(0).sendHead({ isEventStream: true });
  host.getSent(0).events(1, 2);
  host.backend.onSend = (exchange) => {
    Object.assign(exchange, { mayHaveBeenSent: false });
  };
  await host.clock.advance(1_600);
  host.getSent(1).mayHaveBeenSent = true;
  await host.clock.advance(150);
  t.notOk(host.getSent(0).isCancelled);
  await host.clock.advance(100);
  t.ok(host.getSent(0).isCancelled);
});

t.test('the first whole answer to a read is delivered, and the other attempt ends', async (t) => {
  // Guards against reads that are given up for a server that takes as long.
  for (const winner of [0, 1]) {
    const host = await startDirectHost(t, { route: READ }, ['s-1', 's-2']);
    const reply = host.call();
    await host.clock.advance(1_200);
    t.equal(host.backend.sent.length, 2);
    t.notOk(host.getSent(0).isCancelled);
    host.getSent(winner).sendResponse(200, `answer ${winner}`);
    t.equal(reply.body, `answer ${winner}`);
    t.ok(host.getSent(1 - winner).isCancelled);
    t.equal(host.gateway.callCount, 0);
  }
});

t.test('a read whose second attempt fails is answered by the first one', async (t) => {
  // Guards against errors that are passed on while another server still works on the answer.
  for (const failure of [BackendFailure.Declined, BackendFailure.Lost, undefined]) {
    const host = await startDirectHost(t, { route: READ }, ['s-1', 's-2']);
    const reply = host.call();
    await host.clock.advance(700);
    if (failure) host.getSent(1).fail(failure);
    else host.getSent(1).sendResponse(500, 'broken');
    t.equal(reply.head, undefined);
    host.getSent(0).sendResponse();
    t.equal(reply.head?.status, 200, String(failure));
  }
});

t.test(
  'a silent attempt whose retry was refused is retried once the budget allows it',
  async (t) => {
    // Guards against calls that stay at a frozen server for as long as their time lasts.
    const host = await startDirectHost(t, { route: { ...READ, timeoutMs: 8_000 } }, ['s-1', 's-2']);
    useUpRetries(host);
    await host.clock.advance(4_500);
    host.call(REQUEST);
    const frozen = host.backend.sent.at(-1);
    await host.clock.advance(700);
    t.match(host.log.list('attempt_kept'), [{ reason: 'no_budget' }]);
    host.backend.onSend = (exchange) => {
      host.clock.setTimer(1, () => exchange.sendResponse());
    };
    for (let count = 0; count < 30; count += 1) {
      host.call(REQUEST);
      await host.clock.advance(20);
    }
    await host.clock.advance(500);
    t.ok(frozen?.isCancelled, 'the other server has answered');
    t.equal(host.gateway.callCount, 0);
  },
);

t.test('a read that was not sent yet is not sent to two servers', async (t) => {
  // Guards against reads that run twice without a retry when the way to their servers is back.
  const host = await startDirectHost(t, { route: READ }, ['s-1', 's-2']);
  host.backend.onSend = (exchange) => {
    Object.assign(exchange, { mayHaveBeenSent: false });
  };
  host.call();
  await host.clock.advance(700);
  t.ok(host.getSent(0).isCancelled);
  t.notOk(host.getSent(1).isCancelled);
  t.same(host.log.list('retry_granted'), []);
});

t.test("a server's own error is passed on if nothing better comes in time", async (t) => {
  // Guards against answers of servers that are held for a better one, and then thrown away.
  const ends = {
    timeout: (host: DirectHost) => host.clock.advance(2_000),
    stop: (host: DirectHost) => host.gateway.stopAllCalls(),
  };
  for (const [name, end] of Object.entries(ends)) {
    for (const failing of [0, 1]) {
      const host = await startDirectHost(t, { route: READ }, ['s-1', 's-2']);
      const reply = host.call();
      if (failing === 1) await host.clock.advance(700);
      host.getSent(failing).sendResponse(500, 'broken');
      t.equal(host.backend.sent.length, 2);
      await end(host);
      t.equal(reply.head?.status, 500, `${name}, attempt ${failing}`);
    }
  }
});

t.test('streams at frozen servers go on at idle ones', async (t) => {
  // Guards against streams that are kept at frozen servers for as long as their time lasts.
  const servers = ['s-1', 's-2', 's-3', 's-4', 's-5'];
  const host = await startDirectHost(t, { route: STREAM }, servers);
  host.call(REQUEST);
  host.call(REQUEST);
  const used = new Set(host.backend.sent.map(({ request }) => request.incarnationId));
  t.equal(used.size, 2, 'two servers');
  for (const index of [0, 1]) {
    host.getSent(index).sendHead({ isEventStream: true });
    host.getSent(index).events(1, 2);
  }
  await host.clock.advance(2_600);
  t.equal(host.backend.sent.length, 4);
});

t.test('a server that has just spoken shows that not all are silent', async (t) => {
  // Guards against servers that count as silent as they have nothing to answer.
  const servers = ['s-1', 's-2', 's-3', 's-4', 's-5'];
  const host = await startDirectHost(t, { route: STREAM }, servers);
  for (const index of [0, 1, 2]) {
    host.call(REQUEST);
    host.getSent(index).sendHead({ isEventStream: true });
    host.getSent(index).events(1, 2);
  }
  await host.clock.advance(1_300);
  host.getSent(2).events(3, 3);
  host.getSent(2).listener.onComplete();
  await host.clock.advance(200);
  t.equal(host.backend.sent.length, 5);
});

t.test('a caller that leaves ends both attempts', async (t) => {
  // Guards against servers that work on for callers that have gone.
  const { host, reply } = await startSilentStream(t);
  reply.disconnect();
  t.ok(host.getSent(0).isCancelled && host.getSent(1).isCancelled);
  t.equal(host.gateway.callCount, 0);
});

t.test('a call whose two attempts both fail ends once', async (t) => {
  // Guards against two answers to one call, and against calls without any.
  const host = await startDirectHost(t, { route: READ }, ['s-1', 's-2']);
  const reply = host.call();
  await host.clock.advance(700);
  host.getSent(0).sendResponse(500, 'broken');
  host.getSent(1).fail(BackendFailure.Lost);
  t.equal(reply.head?.status, 500, 'the answer that a server gave is passed on');
  t.equal(host.gateway.callCount, 0);
});
