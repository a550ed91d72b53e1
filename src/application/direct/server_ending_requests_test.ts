/**
 * Requests under which backend servers end, over several entry hosts.
 *
 * @module
 */
import t from 'tap';
import { CrashFleet } from '../../../test/support/crash_fleet.js';
import type { FakeReply } from '../../../test/support/direct_ends.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import { SeededRandom } from '../../../test/support/fakes.js';
import { REMEMBERED_MS } from '../../domain/crashes/mod.js';
import { ErrorKind, RunOutcome } from '../../domain/errors/mod.js';
import type { Route } from '../../domain/routing/mod.js';
import type { DirectRequest } from '../../ports/mod.js';

/** Time in which word of a third end reaches all entry hosts in touch, in milliseconds. */
const PROPAGATION_MS = 3_000;

/** Most times that such a request may reach servers after that. */
const MAX_LATE_ARRIVALS = 3;

const CRASHING = 'ends its server';

t.test('a request under which three servers have ended is sent to no more', async (t) => {
  // Symptom: one request ended 26 servers within nine seconds, and calls beside it failed.
  // Sequence: a server runs the request and ends; the entry host sends it to another one; the
  // caller sends it again, under a new ID and to another entry host; each of them does the same.
  // Cause: a run that ended its server was held against the server only, never against the request,
  // and each repeat, under a new ID and at any entry host, began with a clean record.
  // Proof: the same content was running at each end and was never answered, while most of what ran
  // beside it was; held by its content at all entry hosts, it ends no more than three.
  const fleet = new CrashFleet(t, { hosts: 7, servers: 13, route: { isRepeatable: true } });
  await fleet.start();
  for (let round = 0; round < 60; round += 1) {
    fleet.call(round, CRASHING);
    fleet.call(round + 3, `sound ${round}`);
    await fleet.clock.advance(200);
  }
  const thirdEndMs = fleet.findEndMs(CRASHING, 3);
  t.ok(thirdEndMs < Infinity);
  t.ok(fleet.countArrivals(CRASHING, thirdEndMs + PROPAGATION_MS) <= MAX_LATE_ARRIVALS);
});

t.test('a request that servers answer with an error at times is held all the same', async (t) => {
  // Guards against a request that goes on ending servers since some answer it with an error.
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const route = { isRepeatable: seed % 2 === 0 };
    const fleet = new CrashFleet(t, { hosts: 6, servers: 14, errorShare: 1 / 3, seed, route });
    await fleet.start();
    for (let round = 0; round < 100; round += 1) {
      fleet.call(round, CRASHING);
      fleet.call(round + 3, `sound ${round}`);
      await fleet.clock.advance(150);
    }
    const thirdEndMs = fleet.findEndMs(CRASHING, 3);
    t.ok(thirdEndMs < Infinity);
    t.ok(
      fleet.countArrivals(CRASHING, thirdEndMs + PROPAGATION_MS) <= MAX_LATE_ARRIVALS,
      `seed ${seed}`,
    );
  }
});

t.test('an answer that its server ends instead of finishing clears nothing', async (t) => {
  // Guards against a server's end that looks like the end of an answer without a length.
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const fleet = new CrashFleet(t, { hosts: 6, servers: 14, unframedShare: 1 / 3, seed });
    await fleet.start();
    for (let round = 0; round < 100; round += 1) {
      fleet.call(round, CRASHING);
      await fleet.clock.advance(150);
    }
    const thirdEndMs = fleet.findEndMs(CRASHING, 3);
    t.ok(
      fleet.countArrivals(CRASHING, thirdEndMs + PROPAGATION_MS) <= MAX_LATE_ARRIVALS,
      `seed ${seed}`,
    );
  }
});

t.test(
  'it is found on routes of every kind, and its callers hear that it was not run',
  async (t) => {
    const kinds: readonly { name: string; route: Partial<Route>; call?: Partial<DirectRequest> }[] =
      [
        { name: 'one attempt', route: { maxAttempts: 1 } },
        { name: 'must not be repeated', route: {} },
        { name: 'may be repeated', route: { isRepeatable: true, maxAttempts: 4 } },
        { name: 'open to all', route: { isOpen: true }, call: { key: undefined } },
        { name: 'stream', route: { isStream: true } },
        { name: 'resumable stream', route: { isStream: true, isResumable: true } },
        {
          name: 'resumed stream',
          route: { isStream: true, isResumable: true },
          call: { lastEventId: '2' },
        },
      ];
    for (const { name, route, call } of kinds) {
      const fleet = new CrashFleet(t, { hosts: 4, servers: 12, route });
      await fleet.start();
      for (let round = 0; round < 30; round += 1) {
        fleet.call(round, CRASHING, call);
        await fleet.clock.advance(300);
      }
      const thirdEndMs = fleet.findEndMs(CRASHING, 3);
      t.ok(fleet.countArrivals(CRASHING, thirdEndMs + PROPAGATION_MS) <= MAX_LATE_ARRIVALS, name);
      const reply = fleet.call(0, CRASHING, call);
      t.match(
        reply.error,
        { kind: ErrorKind.RequestHeld, run: RunOutcome.NotRun, status: 503 },
        name,
      );
    }
  },
);

t.test('several of them at once are found, and nothing that ran beside them is held', async (t) => {
  // Symptom: calls are refused for the ends of servers at which they only happened to run.
  // Sequence: three requests that end servers come at the same time, among many others; calls
  // break off at one server, are sent again, and break off at the next.
  // Cause: whatever was running at three ends was taken for their cause.
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const random = new SeededRandom(seed);
    const fleet = new CrashFleet(t, { hosts: 5, servers: 13, route: { isRepeatable: true } });
    await fleet.start();
    const replies: FakeReply[] = [];
    for (let round = 0; round < 120; round += 1) {
      const ending = Math.floor(random.nextFraction() * 3);
      fleet.call(Math.floor(random.nextFraction() * 5), `ends ${ending}`);
      const sound = Math.floor(random.nextFraction() * 40);
      [round, sound].forEach((number) => {
        replies.push(fleet.call(Math.floor(random.nextFraction() * 5), `sound ${number}`));
      });
      await fleet.clock.advance(60 + random.nextFraction() * 80);
    }
    const kinds = replies.map(({ error }) => error?.kind);
    t.notOk(kinds.includes(ErrorKind.RequestHeld), `seed ${seed}`);
    for (const body of ['ends 0', 'ends 1', 'ends 2']) {
      const laterMs = fleet.findEndMs(body, 3) + PROPAGATION_MS;
      t.ok(fleet.countArrivals(body, laterMs) <= MAX_LATE_ARRIVALS, `seed ${seed}: ${body}`);
    }
  }
});

t.test('a popular request that runs at all servers of a failing rack is not held', async (t) => {
  // Symptom: after a rack has failed, what most callers ask for is refused.
  // Sequence: it was running at each server of the rack.
  // Cause: ends that came together were counted as if it had been sent to one after the other.
  const fleet = new CrashFleet(t, {
    hosts: 3,
    servers: 9,
    slots: 2,
    route: { isRepeatable: true },
  });
  await fleet.start();
  const replies: FakeReply[] = [];
  for (let call = 0; call < 18; call += 1) replies.push(fleet.call(call, 'popular'));
  const rack = [...new Set(fleet.listServersOf('popular'))].slice(0, 4);
  t.equal(rack.length, 4);
  await fleet.clock.advance(50);
  fleet.endServers(rack);
  for (let round = 0; round < 20; round += 1) {
    replies.push(fleet.call(round, 'popular'));
    await fleet.clock.advance(100);
  }
  t.notOk(replies.some(({ error }) => error?.kind === ErrorKind.RequestHeld));
  const held = fleet.hosts.flatMap(({ log }) => log.list('request_held'));
  t.same(held, []);
});

t.test('servers that leave as planned, one after the other, hold nothing', async (t) => {
  // Symptom: a long request is refused during a release.
  // Sequence: each server that it is given is replaced, and closes what it didn't finish.
  // Cause: a planned end was taken for one under a request.
  const fleet = new CrashFleet(t, {
    hosts: 2,
    servers: 6,
    runMs: 100_000,
    route: { isRepeatable: true, maxAttempts: 6, timeoutMs: 100_000, targetMs: 100_000 },
  });
  await fleet.start();
  const reply = fleet.call(0, 'long', { deadlineMs: 100_000 });
  for (let round = 0; round < 5; round += 1) {
    const serverIds = fleet.listServersOf('long');
    fleet.drainServers(serverIds);
    await fleet.clock.advance(1_000);
    fleet.endServers(serverIds);
    await fleet.clock.advance(200);
  }
  t.equal(fleet.countArrivals('long'), 6);
  t.equal(reply.error, undefined);
});

t.test('connections that are cut hold nothing, whatever the cut looks like', async (t) => {
  // Symptom: an entry host that was cut off has all others refuse what it had under way.
  // Sequence: its connections are reset again and again, and new ones are refused, though the
  // servers live; others hear of it and believe it.
  // Cause: what one entry host sees of its links was taken for what the servers do.
  const fleet = new CrashFleet(t, { hosts: 3, servers: 5, runMs: 400, route: { maxAttempts: 1 } });
  await fleet.start();
  const [cut] = fleet.hosts as [DirectHost];
  for (let round = 0; round < 12; round += 1) {
    const isRefused = round >= 6;
    fleet.call(0, 'cut');
    fleet.call(1, `other ${round}`);
    fleet.call(2, `other ${round}`);
    await fleet.clock.advance(50);
    cut.probe.isCut = isRefused;
    fleet.resetHost(cut);
    await fleet.clock.advance(100);
    cut.probe.isCut = false;
    await fleet.clock.advance(900);
  }
  t.same(
    fleet.hosts.slice(1).flatMap(({ log }) => log.list('request_held')),
    [],
  );
  t.same(cut.log.list('request_held'), []);
});

t.test('an entry host that starts later, or was cut off, holds what the others hold', async (t) => {
  // Symptom: a request that all others refuse ends further servers through one entry host.
  // Sequence: that one had just started, or was without links when the servers ended.
  // Cause: word of the ends was sent once, to those that were there.
  const fleet = new CrashFleet(t, { hosts: 3, servers: 12 });
  await fleet.start();
  fleet.hub.partition(['h-3'], ['h-1', 'h-2']);
  for (let round = 0; round < 6; round += 1) {
    fleet.call(round % 2, CRASHING);
    await fleet.clock.advance(300);
  }
  fleet.hub.healAll();
  fleet.addHost(t, 4);
  await fleet.clock.advance(PROPAGATION_MS);
  const before = fleet.countArrivals(CRASHING);
  t.equal(fleet.call(2, CRASHING).error?.kind, ErrorKind.RequestHeld);
  t.equal(fleet.call(3, CRASHING).error?.kind, ErrorKind.RequestHeld);
  t.equal(fleet.countArrivals(CRASHING), before);
});

t.test('a call that waits hears at once that its like is held', async (t) => {
  const fleet = new CrashFleet(t, { hosts: 1, servers: 4, slots: 1, route: { timeoutMs: 60_000 } });
  await fleet.start();
  for (let round = 0; round < 2; round += 1) {
    fleet.call(0, CRASHING);
    await fleet.clock.advance(100);
  }
  fleet.call(0, CRASHING);
  fleet.call(0, 'sound');
  const waiting = fleet.call(0, CRASHING, { deadlineMs: 60_000 });
  t.equal(waiting.error, undefined);
  await fleet.clock.advance(80);
  t.equal(waiting.error?.kind, ErrorKind.RequestHeld);
});

t.test(
  'a request is held no more once it has not come for long, and comes through again',
  async (t) => {
    const fleet = new CrashFleet(t, { hosts: 2, servers: 8 });
    await fleet.start();
    for (let round = 0; round < 4; round += 1) {
      fleet.call(round, CRASHING);
      await fleet.clock.advance(300);
    }
    t.equal(fleet.call(0, CRASHING).error?.kind, ErrorKind.RequestHeld);
    await fleet.clock.advance(REMEMBERED_MS + PROPAGATION_MS);
    t.equal(fleet.call(0, CRASHING).error, undefined);
  },
);
