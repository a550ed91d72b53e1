import t from 'tap';
import type { Test } from 'tap';
import { startDirectHost } from '../../../test/support/direct_host.js';
import { FakeReply } from '../../../test/support/direct_ends.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import { ErrorKind } from '../../domain/errors/mod.js';

const WORK_MS = 1_000;

const DEADLINE_MS = 10_000;

/** Starts a host that knows how long its server works on a request. */
async function startTrainedHost(t: Test): Promise<DirectHost> {
  const host = await startDirectHost(t, { route: { timeoutMs: DEADLINE_MS } });
  for (let index = 0; index < 10; index += 1) {
    host.call();
    await host.clock.advance(WORK_MS);
    host.getSent(index).sendResponse();
  }
  return host;
}

function countSent({ backend }: DirectHost): number {
  return backend.sent.length;
}

t.test('a call that a stop would cut off is refused at once, and not sent', async (t) => {
  // Guards against calls that run at a server and are cut off at the end of a planned stop.
  const host = await startTrainedHost(t);
  host.gateway.setCallsEnd(host.clock.nowMs() + WORK_MS / 2);
  const sentBefore = countSent(host);
  const reply = host.call({ deadlineMs: DEADLINE_MS });
  t.equal(reply.error?.kind, ErrorKind.EntryHostStopping);
  t.equal(countSent(host), sentBefore);
});

t.test('a call that can end before a stop does is served', async (t) => {
  // Guards against callers that are sent away although there is time for them.
  const host = await startTrainedHost(t);
  host.gateway.setCallsEnd(host.clock.nowMs() + 4 * WORK_MS);
  const sentBefore = countSent(host);
  const reply = host.call({ deadlineMs: DEADLINE_MS });
  t.equal(host.getSent(sentBefore).request.deadlineMs, 4 * WORK_MS, 'the server knows the time');
  host.getSent(sentBefore).sendResponse();
  t.equal(reply.body, 'ok');
});

t.test('a call that waits as a stop begins does not start too late in it', async (t) => {
  // Guards against calls that are passed on late in a stop, and that end without an answer.
  const host = await startTrainedHost(t);
  const sentBefore = countSent(host);
  const replies = Array.from({ length: 8 }, () => host.call({ deadlineMs: DEADLINE_MS }));
  const sent = countSent(host);
  const waiting = replies.slice(sent - sentBefore);
  t.ok(waiting.length > 0 && waiting.every(({ error }) => error === undefined));
  host.gateway.setCallsEnd(host.clock.nowMs() + 3 * WORK_MS);
  await host.clock.advance(2.5 * WORK_MS);
  t.same(
    waiting.map(({ error }) => error?.kind),
    waiting.map(() => ErrorKind.EntryHostStopping),
  );
  host.getSent(sentBefore).sendResponse();
  await host.clock.advance(100);
  t.equal(countSent(host), sent);
});

t.test('a fault in one call leaves no other one unanswered as a stop ends them', async (t) => {
  // Guards against calls that get no answer since the process ends by the fault of another one.
  const host = await startDirectHost(t);
  const faulty = new FakeReply();
  faulty.sendError = () => {
    throw new Error('Cannot answer: test');
  };
  host.call({}, faulty);
  const reply = host.call();
  t.doesNotThrow(() => host.gateway.stopAllCalls());
  t.ok(reply.error);
});
