/**
 * Tests what the log and the metrics tell of calls that end without a complete answer.
 *
 * @module
 */
import t from 'tap';
import { GRACE_MS } from '../../../test/support/cut_cases.js';
import { CutFleet, CutMode } from '../../../test/support/cut_fleet.js';
import { buildDocument, buildServer, startDirectHost } from '../../../test/support/direct_host.js';
import type { DirectHost, DocumentChanges } from '../../../test/support/direct_host.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { BackendFailure, PeerFault } from '../../ports/mod.js';
import { deriveAttemptCause, EndCause } from './_end_cause.js';

const STREAM = { isStream: true };

const RESUMABLE = { isStream: true, isResumable: true };

/** What ends a stream whose caller has two events. */
interface EndCase {
  readonly route: DocumentChanges['route'];
  readonly end: (host: DirectHost) => void | Promise<void>;
  readonly attemptCause?: string;
}

async function loseAfter(host: DirectHost, changes: DocumentChanges): Promise<void> {
  host.feed.put('configuration', buildDocument(2, changes));
  await settle();
  host.getSent(0).fail(BackendFailure.Lost);
}

const BREAKS: Readonly<Record<string, EndCase>> = {
  server_lost: {
    route: STREAM,
    end: (host) => host.getSent(0).fail(BackendFailure.Lost),
    attemptCause: 'server_lost',
  },
  server_failed: {
    route: STREAM,
    end: (host) => host.getSent(0).fail(BackendFailure.Broken),
    attemptCause: 'server_failed',
  },
  server_restarted: {
    route: STREAM,
    end: async (host) => {
      const { incarnationId } = host.getSent(0).request;
      host.feed.put(
        `servers/${incarnationId}`,
        buildServer('s-3', { serverId: incarnationId, bornAtMs: 5 }),
      );
      await host.clock.advance(200);
    },
    attemptCause: 'server_restarted',
  },
  not_allowed: {
    route: RESUMABLE,
    end: (host) => loseAfter(host, { keys: ['key-b'], route: RESUMABLE }),
    attemptCause: 'server_lost',
  },
  no_server: {
    route: RESUMABLE,
    end: async (host) => {
      host.feed.remove('servers/s-2');
      await settle();
      host.getSent(0).fail(BackendFailure.Lost);
    },
    attemptCause: 'server_lost',
  },
  no_room: {
    route: RESUMABLE,
    end: async (host) => {
      for (let count = 0; count < 3; count += 1) host.call();
      host.getSent(0).fail(BackendFailure.Lost);
      await host.clock.advance(1_999);
    },
    attemptCause: 'server_lost',
  },
  deadline: { route: STREAM, end: (host) => host.clock.advance(2_000) },
  host_stops: { route: STREAM, end: (host) => host.gateway.stopAllCalls() },
};

t.test('the line that ends a broken off answer says who ended it and for what', async (t) => {
  // Guards against callers who say "no answer" and can't be told why.
  for (const [cause, { route, end, attemptCause }] of Object.entries(BREAKS)) {
    const host = await startDirectHost(t, { route });
    const reply = host.call();
    host.getSent(0).sendHead({ isEventStream: true });
    host.getSent(0).events(1, 2);
    await end(host);
    t.ok(reply.isAborted, `${cause}: broken off`);
    const lines = host.log.list('call_broken_off');
    t.match(lines[0], { requestId: 'r-1', cause, attemptCause }, cause);
    const name = `answers_broken_off_total${JSON.stringify({ cause })}`;
    t.equal(host.metrics.counts.get(name), 1, `${cause}: counted`);
  }
});

t.test('the line that refuses a call says what became of its attempt', async (t) => {
  // Guards against refusals for want of room that hide why the first server gave no answer.
  const host = await startDirectHost(t, {}, ['s-1']);
  host.call();
  host.getSent(0).fail(BackendFailure.Declined);
  await host.clock.advance(1_500);
  const attemptCause = 'server_declined';
  t.match(host.log.list('attempt_failed'), [{ cause: attemptCause }]);
  t.match(host.log.list('call_refused'), [{ cause: 'no_room', attemptCause }]);
});

t.test('an attempt that is given up for its silence is told from a lost server', async (t) => {
  // Guards against servers that are blamed for attempts which this host gave up.
  const host = await startDirectHost(t, { route: { isRepeatable: true } });
  host.call();
  await host.clock.advance(1_000);
  host.getSent(1).sendResponse();
  const [backendServer, followedBy] = host.backend.sent.map(({ request }) => request.incarnationId);
  t.match(host.log.list('attempt_given_up'), [{ backendServer, followedBy }]);
  t.same(host.log.list('attempt_failed'), []);
});

t.test('faults of peers are told from those of servers', async (t) => {
  // Guards against servers that are blamed for peers which stop or lose events.
  for (const fault of Object.values(PeerFault))
    t.equal(deriveAttemptCause(BackendFailure.Broken, fault), EndCause.PeerLinkLost, fault);
});

t.test('a stream whose link to its peer is lost says so', async (t) => {
  // Guards against servers that are blamed for streams which a peer's end broke off.
  const route = { ...STREAM, timeoutMs: 20_000, targetGapMs: 1_000 };
  const fleet = new CutFleet(t, { hosts: 6, servers: 4, route, runMs: 4_000, events: 40 });
  await fleet.start();
  const [host] = fleet.listHosts(['h-1']);
  fleet.cut(['h-1'], CutMode.Reset);
  const load = { callsPerSecond: 5, durationMs: GRACE_MS, request: { deadlineMs: 20_000 } };
  await fleet.run({ ...load, hosts: host ? [host] : [] });
  fleet.hub.partition(['h-1'], ['h-2', 'h-3', 'h-4', 'h-5', 'h-6']);
  await fleet.clock.advance(600);
  const lines = host?.log.list('call_broken_off') ?? [];
  t.ok(lines.length > 0, 'streams are broken off');
  t.ok(lines.every(({ cause }) => cause === 'peer_link_lost'));
});
