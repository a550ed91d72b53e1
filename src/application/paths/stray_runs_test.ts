/**
 * Tests that the runs of a host whose link was closed do not outlive the requests.
 *
 * @module
 */
import fc from 'fast-check';
import t from 'tap';
import { ProxyPair } from '../../../test/support/proxy_pair.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { BackendFailure } from '../../ports/mod.js';

/** Time within which a run must have ended that nobody waits for, in milliseconds. */
const MAX_STRAY_MS = 500;

t.test('a peer ends the runs that the other host has given up, once it is linked', async (t) => {
  // Guards against runs that go on beside those that have taken their place.
  const property = fc.asyncProperty(fc.integer({ min: 81, max: 2_000 }), async (awayMs) => {
    const pair = new ProxyPair();
    const answer = pair.send();
    await settle();
    pair.hub.cut('asker', 'peer');
    await pair.clock.advance(awayMs);
    const isGivenUp = answer?.end === BackendFailure.Broken;
    pair.restore();
    await pair.clock.advance(MAX_STRAY_MS);
    return isGivenUp && pair.backend.sent[0]?.isCancelled === true;
  });
  await t.resolves(fc.assert(property, { seed: 16, numRuns: 20 }));
});

t.test('a peer ends the runs of a host that has closed its link and stays away', async (t) => {
  // Guards against runs that go on for seconds for callers of a host that has crashed.
  const pair = new ProxyPair();
  pair.send();
  await settle();
  pair.hub.cut('asker', 'peer');
  await pair.clock.advance(MAX_STRAY_MS);
  t.ok(pair.backend.sent[0]?.isCancelled);
});
