/**
 * Tests streams of which three attempts are in flight.
 *
 * @module
 */
import fc from 'fast-check';
import t from 'tap';
import { buildServer, startDirectHost } from '../../../test/support/direct_host.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { formatIncarnationId } from '../../domain/backend_servers/mod.js';
import { BackendFailure } from '../../ports/mod.js';

const STREAM = {
  isStream: true,
  isResumable: true,
  timeoutMs: 8_000,
  targetMs: 200,
  targetGapMs: 100,
  maxAttempts: 3,
};

const REQUEST = { deadlineMs: 8_000 };

/** Silence after which another server is asked, in milliseconds. */
const SILENCE_MS = 1_400;

t.test('a stream whose third server declines it goes on at the second one', async (t) => {
  // Guards against streams whose attempts are all given up for one that has ended.
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 140 }),
      fc.integer({ min: 1, max: 190 }),
      async (restartMs, declineMs) => {
        const host = await startDirectHost(t, { route: STREAM }, ['s-1', 's-2', 's-3']);
        const reply = host.call(REQUEST);
        host.getSent(0).sendHead({ isEventStream: true });
        host.getSent(0).events(1, 2);
        await host.clock.advance(SILENCE_MS + restartMs);
        const second = host.getSent(1);
        const { serverId } = second.request;
        const entry = { serverId, bornAtMs: 5 };
        host.feed.put(`servers/${serverId}`, buildServer(formatIncarnationId(serverId, 5), entry));
        await settle();
        t.equal(host.backend.sent.length, 3);
        second.sendHead({ isEventStream: true });
        await host.clock.advance(declineMs);
        host.getSent(2).fail(BackendFailure.Declined);
        await host.clock.advance(400);
        second.events(3, 4);
        second.listener.onComplete();
        return reply.hasEnded && !reply.isAborted;
      },
    ),
    { seed: 16, numRuns: 40 },
  );
});
