/**
 * Tests requests through a peer whose link to the host that asked takes no more for a while.
 *
 * @module
 */
import fc from 'fast-check';
import t from 'tap';
import { buildIdentity } from '../../../test/support/identities.js';
import { answerInParts, ProxyPair, WHOLE } from '../../../test/support/proxy_pair.js';
import { settle, VirtualClock } from '../../../test/support/virtual_clock.js';
import { BackendFailure, ProxyEventKind } from '../../ports/mod.js';
import { ReplyLog } from './_reply_log.js';

/** Time after which the host that asked has heard what could not be sent, in milliseconds. */
const RETRY_MS = 60;

/** Identities of a host that asks for events again, and of one of a former version. */
const ASKERS = [buildIdentity('asker'), { ...buildIdentity('asker'), resumesExchanges: undefined }];

t.test('a host is told of a run that its full link has ended', async (t) => {
  // Guards against calls that wait for their silence or deadline after their run was cancelled.
  for (const asker of ASKERS) {
    const pair = new ProxyPair(asker);
    const answer = pair.send();
    await settle();
    const [run] = pair.backend.sent;
    run?.sendHead();
    await settle();
    pair.hub.setFull('peer', 'asker', true);
    for (let part = 0; part < 10; part += 1) run?.listener.onBody(Buffer.alloc(65_536));
    t.ok(run?.isCancelled);
    await pair.clock.advance(700);
    t.equal(answer?.end, undefined);
    pair.hub.setFull('peer', 'asker', false);
    await pair.clock.advance(RETRY_MS);
    t.equal(answer?.end, BackendFailure.Broken);
    t.same(answer?.parts, ['head']);
  }
});

t.test('a host is told of a run that its link has been too full for, for long', async (t) => {
  // Guards against the same after the time for which a link may take nothing.
  const pair = new ProxyPair();
  answerInParts(pair);
  const answer = pair.send();
  await pair.clock.advance(350);
  pair.hub.setFull('peer', 'asker', true);
  await pair.clock.advance(4_000);
  t.equal(pair.server.exchangeCount, 0, 'the run has ended');
  pair.hub.setFull('peer', 'asker', false);
  await pair.clock.advance(RETRY_MS);
  t.equal(answer?.end, BackendFailure.Broken);
});

t.test('a refusal that a full link has not taken is told as it is', async (t) => {
  // Guards against requests that were not sent, and are said to have run.
  for (const asker of ASKERS) {
    const pair = new ProxyPair(asker);
    pair.server.refuseNewRequests();
    pair.hub.setFull('peer', 'asker', true);
    const answer = pair.send();
    await pair.clock.advance(200);
    pair.hub.setFull('peer', 'asker', false);
    await pair.clock.advance(RETRY_MS);
    t.equal(answer?.end, BackendFailure.NotSent);
  }
});

const stepsArbitrary = fc.array(
  fc.record({ isFull: fc.boolean(), ms: fc.integer({ min: 0, max: 900 }) }),
  { minLength: 2, maxLength: 12 },
);

t.test('answers go on once a link that was full takes messages again', async (t) => {
  // Guards against answers that a moment without room ends, for hosts of a former version too.
  t.setTimeout(60_000);
  await fc.assert(
    fc.asyncProperty(stepsArbitrary, fc.constantFrom(...ASKERS), async (steps, asker) => {
      const pair = new ProxyPair(asker);
      answerInParts(pair);
      const answer = pair.send();
      for (const { isFull, ms } of steps) {
        pair.hub.setFull('peer', 'asker', isFull);
        await pair.clock.advance(ms);
        // A link that takes nothing for longer may end the run.
        pair.hub.setFull('peer', 'asker', false);
        await pair.clock.advance(RETRY_MS);
      }
      await pair.clock.advance(2_000);
      return answer?.end === 'complete' && answer.parts.join() === WHOLE.join();
    }),
    { seed: 21, numRuns: 100 },
  );
  t.ok(true);
});

t.test('a link that takes some of the events at a time ends no answer', async (t) => {
  // Guards against runs that are cancelled although their events arrive, if late.
  const clock = new VirtualClock();
  let room = 0;
  let isLost = false;
  const sent: number[] = [];
  const log = new ReplyLog({
    clock,
    isKept: true,
    keptBytes: { total: 0 },
    send: (index) => {
      if (room === 0) return false;
      room -= 1;
      sent.push(index);
      return true;
    },
    onLost: () => {
      isLost = true;
    },
  });
  for (let event = 0; event < 200; event += 1) {
    log.append({ kind: ProxyEventKind.Body, bytes: Buffer.from(`${event}`) });
    if (event % 2 === 0) room = 1;
    await clock.advance(50);
  }
  t.notOk(isLost, `${sent.length} events have been sent`);
  room = Infinity;
  await clock.advance(50);
  t.same(
    sent,
    Array.from({ length: 200 }, (_, index) => index),
  );
});
