/**
 * Tests requests through a peer whose link to the entry host is lost and opens again.
 *
 * @module
 */
import fc from 'fast-check';
import t from 'tap';
import { buildIdentity } from '../../../test/support/identities.js';
import { answerInParts, ProxyPair, WHOLE } from '../../../test/support/proxy_pair.js';
import type { Answer } from '../../../test/support/proxy_pair.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { BackendFailure, PeerMessageType } from '../../ports/mod.js';

/** Time within which all requests have ended after the last link was lost, in milliseconds. */
const END_MS = 4_000;

t.test('an answer that ended while its link was lost is sent again', async (t) => {
  // Guards against runs whose last events are lost with the link that they were on.
  const pair = new ProxyPair();
  answerInParts(pair);
  const answer = pair.send();
  await pair.clock.advance(350);
  pair.silence();
  await pair.clock.advance(1_300);
  t.equal(pair.server.exchangeCount, 0, 'the run has ended');
  pair.lose();
  await pair.clock.advance(1_500);
  pair.restore();
  await pair.clock.advance(100);
  t.same(answer?.parts, WHOLE);
  t.equal(answer?.end, 'complete');
});

t.test('events that are sent twice are passed on once', async (t) => {
  // Guards against parts that come twice, since a peer far away is asked again before it answers.
  const pair = new ProxyPair();
  const { clock } = pair;
  answerInParts(pair);
  const answer = pair.send();
  await clock.advance(150);
  pair.lose();
  pair.hub.delay = { clock, pickMs: () => 300 };
  await clock.advance(300);
  pair.restore();
  await clock.advance(3_000);
  t.same(answer?.parts, WHOLE);
  t.equal(answer?.end, 'complete');
  const asked = pair.hub.delivered.filter(
    ({ message }) => message.type === PeerMessageType.ProxyResume,
  );
  t.ok(asked.length > 1, 'the peer was asked twice');
});

t.test('a cancel that was lost with a link reaches the peer with the next one', async (t) => {
  // Guards against servers that work on for callers who have gone.
  const pair = new ProxyPair();
  const answer = pair.send();
  await settle();
  pair.silence();
  answer?.exchange.cancel();
  await pair.clock.advance(1_300);
  pair.lose();
  pair.restore();
  await settle();
  t.ok(pair.backend.sent[0]?.isCancelled);
});

t.test('a restarted peer ends the requests of its former process at once', async (t) => {
  // Guards against requests that wait for a process which is gone.
  const pair = new ProxyPair();
  const answer = pair.send();
  await settle();
  await pair.restartPeer();
  await settle();
  t.equal(answer?.end, BackendFailure.Broken);
});

t.test('an answer that has outgrown what is kept breaks off, and its run ends', async (t) => {
  // Guards against memory that grows with what a peer without a link has missed.
  const pair = new ProxyPair();
  const answer = pair.send();
  await settle();
  const [run] = pair.backend.sent;
  run?.sendHead();
  await settle();
  pair.lose();
  await settle();
  for (let part = 0; part < 10; part += 1) run?.listener.onBody(Buffer.alloc(65_536));
  t.ok(run?.isCancelled);
  pair.restore();
  await settle();
  t.equal(answer?.end, BackendFailure.Broken);
  t.same(answer?.parts, ['head']);
});

t.test('a request is not said to be unsent by a peer that has forgotten its run', async (t) => {
  // Guards against a second run of a request, after a host that woke up late has asked for the first.
  const pair = new ProxyPair();
  const answer = pair.send();
  await settle();
  pair.silence();
  pair.backend.sent[0]?.fail(BackendFailure.Lost);
  await pair.clock.advance(30_000);
  pair.lose();
  pair.restore();
  await pair.clock.advance(100);
  t.equal(answer?.end, BackendFailure.Broken);
});

t.test('a former version on either side has requests end with the link', async (t) => {
  // Guards against requests that wait for a peer which can't go on with them.
  const former = { resumesExchanges: undefined };
  for (const [asker, peer] of [
    [buildIdentity('asker'), { ...buildIdentity('peer'), ...former }],
    [{ ...buildIdentity('asker'), ...former }, buildIdentity('peer')],
  ] as const) {
    const pair = new ProxyPair(asker, peer);
    const answer = pair.send();
    await settle();
    pair.lose();
    await pair.clock.advance(END_MS);
    t.equal(answer?.end, BackendFailure.Broken);
    t.ok(pair.backend.sent[0]?.isCancelled);
    pair.restore();
    await settle();
    const types = pair.hub.delivered.map(({ message }) => message.type);
    t.notOk(types.includes(PeerMessageType.ProxyResume) && peer.resumesExchanges === undefined);
  }
});

/** What happens to the link or a request, and the time until the next thing happens. */
const stepsArbitrary = fc.array(
  fc.record({
    action: fc.constantFrom('silence', 'lose', 'restore', 'send', 'cancel', 'wait'),
    ms: fc.integer({ min: 0, max: 900 }),
  }),
  { minLength: 4, maxLength: 25 },
);

t.test('a link that comes and goes loses, repeats and invents nothing', async (t) => {
  // Guards against parts that are missing or come twice, second runs, untrue words and stray runs.
  t.setTimeout(120_000);
  await fc.assert(
    fc.asyncProperty(stepsArbitrary, async (steps) => {
      const pair = new ProxyPair();
      answerInParts(pair);
      const cancelled = new Set<Answer>();
      pair.send();
      for (const { action, ms } of steps) {
        if (action === 'silence') pair.silence();
        if (action === 'lose') pair.lose();
        if (action === 'restore') pair.restore();
        if (action === 'send') pair.send();
        const open = pair.answers.filter(({ end }) => end === undefined);
        if (action === 'cancel' && open[0]) {
          cancelled.add(open[0]);
          open[0].exchange.cancel();
        }
        await pair.clock.advance(ms);
      }
      // A silent link is ended in time.
      if (!pair.hub.isOpen('asker', 'peer')) pair.lose();
      await pair.clock.advance(END_MS);
      for (const answer of pair.answers) {
        const runs = pair.findSent(answer);
        const isPrefix = answer.parts.every((part, at) => part === WHOLE[at]);
        if (!isPrefix || runs.length > 1) return false;
        if (answer.end === 'complete' && answer.parts.length !== WHOLE.length) return false;
        if (answer.end === BackendFailure.NotSent && runs.length > 0) return false;
        if (answer.end === undefined && !cancelled.has(answer)) return false;
      }
      return pair.server.exchangeCount === 0 && pair.client.exchangeCount === 0;
    }),
    { seed: 16, numRuns: 150 },
  );
  t.ok(true);
});
