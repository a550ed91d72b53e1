/**
 * Tests requests through a peer where two hosts judge the loss of their link differently.
 *
 * @module
 */
import fc from 'fast-check';
import t from 'tap';
import { answerInParts, ProxyPair, WHOLE } from '../../../test/support/proxy_pair.js';
import { settle } from '../../../test/support/virtual_clock.js';

t.test(
  'a request is ended at once that its peer has given up while the link was lost',
  async (t) => {
    // Guards against requests that wait for events which nobody sends any more.
    const property = fc.asyncProperty(fc.integer({ min: 1, max: 600 }), async (laterMs) => {
      const pair = new ProxyPair();
      const answer = pair.send();
      await settle();
      await pair.loseAtPeerFirst(laterMs);
      await pair.clock.advance(3_000 - Math.floor(laterMs / 2));
      pair.restore();
      await pair.clock.advance(1_000);
      return answer?.end !== undefined;
    });
    await t.resolves(fc.assert(property, { seed: 16, numRuns: 20 }));
  },
);

t.test('an answer that ended while the link was lost outlives the wait of its peer', async (t) => {
  // Guards against whole answers that are dropped as if their run went on for nobody.
  const property = fc.asyncProperty(fc.integer({ min: 2, max: 600 }), async (laterMs) => {
    const pair = new ProxyPair();
    answerInParts(pair);
    const answer = pair.send();
    await pair.clock.advance(250);
    await pair.loseAtPeerFirst(laterMs);
    await pair.clock.advance(3_000 - Math.floor(laterMs / 2));
    pair.restore();
    await pair.clock.advance(1_000);
    return answer?.end === 'complete' && answer.parts.join() === WHOLE.join();
  });
  await t.resolves(fc.assert(property, { seed: 16, numRuns: 20 }));
});

t.test(
  'a request goes on over a link that opens in time, however far away its peer is',
  async (t) => {
    // Guards against requests that are given up while their peer sends what was missed.
    const awayArbitrary = fc.integer({ min: 1, max: 70 });
    const wayArbitrary = fc.integer({ min: 1, max: 120 });
    const property = fc.asyncProperty(awayArbitrary, wayArbitrary, async (awayMs, wayMs) => {
      const pair = new ProxyPair();
      const { clock, hub } = pair;
      answerInParts(pair);
      const answer = pair.send();
      await clock.advance(250);
      hub.delay = { clock, pickMs: () => wayMs };
      hub.cut('asker', 'peer');
      await clock.advance(awayMs);
      pair.restore();
      await clock.advance(4_000);
      return answer?.end === 'complete' && answer.parts.join() === WHOLE.join();
    });
    await t.resolves(fc.assert(property, { seed: 16, numRuns: 40 }));
  },
);
