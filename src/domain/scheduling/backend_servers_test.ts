import fc from 'fast-check';
import t from 'tap';
import { buildDemand, buildSpecs, createGroup } from '../../../test/support/group_fixture.js';
import {
  ConcurrencyWindow,
  createStrategy,
  MAX_EJECTED_FRACTION,
  OutlierEjector,
  pickNearBest,
  ServerVerdict,
  SLOW_START_MS,
  StrategyName,
  Tier,
} from './mod.js';
import { SeededRandom } from '../../../test/support/fakes.js';
import { CacheHints } from './cache_hints.js';
import { ServerSpeed } from './server_speed.js';

const START = { prefillTokensPerSecond: 8000, decodeTokensPerSecond: 50 };

t.test('ConcurrencyWindow never falls below 1, whatever the samples', async (t) => {
  const event = fc.record({
    stretch: fc.double({ min: -10, max: 1e9, noNaN: true }),
    perTokenMs: fc.double({ min: -10, max: 1e9, noNaN: true }),
    inFlight: fc.nat(200),
    isRefusal: fc.boolean(),
    isReturning: fc.boolean(),
    afterMs: fc.nat(200_000),
  });
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 64 }), fc.array(event), (slots, events) => {
      const window = new ConcurrencyWindow(slots);
      let nowMs = 0;
      events.forEach(({ stretch, perTokenMs, inFlight, isRefusal, isReturning, afterMs }) => {
        nowMs += afterMs;
        if (isReturning) window.beginSlowStart(nowMs);
        if (isRefusal) window.recordRefusal(nowMs);
        else window.observe({ firstByteRatio: stretch, perTokenMs, inFlight }, nowMs);
        const size = window.getSize(nowMs);
        if (!Number.isInteger(size) || size < 1 || size > Math.max(1, slots))
          throw new Error(`window of ${size}`);
      });
    }),
    { seed: 42, numRuns: 300 },
  );
  t.pass();
});

t.test('ConcurrencyWindow shrinks when latency rises and recovers afterwards', async (t) => {
  const window = new ConcurrencyWindow(16);
  let nowMs = 0;
  const observe = (perTokenMs: number, times: number): void => {
    for (let index = 0; index < times; index += 1) {
      nowMs += 100;
      window.observe({ firstByteRatio: 1, perTokenMs, inFlight: 16 }, nowMs);
    }
  };
  observe(20, 100);
  t.equal(window.getSize(nowMs), 16);
  observe(200, 60);
  t.ok(window.getSize(nowMs) <= 8, `${window.getSize(nowMs)} at ten times the latency`);
  observe(20, 300);
  t.equal(window.getSize(nowMs), 16);
});

t.test('ConcurrencyWindow grows slowly for a new or returning server', async (t) => {
  const window = new ConcurrencyWindow(16);
  window.beginSlowStart(1000);
  const sizes = [0, 0.5, 1].map((part) => window.getSize(1000 + part * SLOW_START_MS));
  t.same(sizes, [4, 10, 16]);
});

t.test(
  'ServerPool begins a slow start for servers that join later, not for the initial ones',
  async (t) => {
    const group = createGroup(buildSpecs(2, 16));
    t.equal(group.pool.computeWindow(0), 32);
    group.updateServers(buildSpecs(3, 16), 0);
    t.equal(group.pool.computeWindow(0), 36);
    group.updateServers(buildSpecs(3, 16, [0]), 20_000);
    group.updateServers(buildSpecs(3, 16), 30_000);
    t.equal(group.pool.computeWindow(30_000), 36, 'a draining server has returned');
  },
);

t.test('OutlierEjector never ejects more than a third of a group', async (t) => {
  const health = fc.record({
    consecutiveFailures: fc.nat(20),
    slowdown: fc.double({ min: 0.1, max: 1000, noNaN: true }),
    samples: fc.nat(20),
  });
  const rounds = fc.array(
    fc.tuple(fc.nat(30_000), fc.array(health, { minLength: 12, maxLength: 12 })),
  );
  fc.assert(
    fc.property(rounds, fc.integer({ min: 1, max: 12 }), (steps, size) => {
      const ejector = new OutlierEjector();
      let nowMs = 0;
      steps.forEach(([afterMs, healths]) => {
        nowMs += afterMs;
        const group = healths.slice(0, size).map((one, index) => ({ ...one, id: String(index) }));
        ejector.eject(group, nowMs);
        const out = group.filter(({ id }) => ejector.isEjected(id, nowMs)).length;
        if (out > size * MAX_EJECTED_FRACTION) throw new Error(`${out} of ${size} are ejected`);
      });
    }),
    { seed: 42, numRuns: 300 },
  );
  t.pass();
});

t.test('ServerPool ejects a failing backend server, and lets it return later', async (t) => {
  // Guards against an engine that breaks off every stream and therefore
  // attracts a third of the requests: its slots come free sooner than others,
  // and a fast failure looks like a fast answer.
  const group = createGroup(buildSpecs(3, 4));
  const failed = { verdict: ServerVerdict.Failing, firstByteMs: 0, totalMs: 5, outputTokens: 0 };
  for (let index = 0; index < 60 && group.pool.listEjected(index).length === 0; index += 1) {
    group.submit(buildDemand(String(index), { waitingSinceMs: index }), index * 100);
    group.run(index * 100);
    const held = group.pool.listHeld().filter(({ serverId }) => serverId === 'engine-2');
    held.forEach(({ grantId }) => group.release(grantId, failed, index * 100));
    group.run(index * 100 + 99);
  }
  const ejectedAtMs = 6_000;
  t.same(group.pool.listEjected(ejectedAtMs - 5_000 + 4_000), ['engine-2']);
  t.same(group.pool.listEjected(60_000), []);
});

t.test(
  'ServerState detects a slow server by overdue requests, before any of them ends',
  async (t) => {
    // Guards against requests that pile up on an engine that became ten times
    // slower. Nothing finishes there, so the speed measured at the end of
    // requests gets no samples.
    const group = createGroup(buildSpecs(2, 8), createStrategy(StrategyName.Dispatcher));
    const server = group.pool.findServer('engine-1');
    group.submit(buildDemand('held', { expectedOutputTokens: 100 }), 0);
    group.run(0);
    t.equal(group.pool.listHeld()[0]?.serverId, 'engine-1', 'the faster server');
    t.equal(server?.computeOverdueFactor(1_000), 1);
    t.ok((server?.computeOverdueFactor(15_000) ?? 0) > 9);
    group.submit(buildDemand('next', { expectedOutputTokens: 100 }), 15_000);
    group.run(15_000);
    t.equal(
      group.pool.listHeld().find(({ demand }) => demand.key === 'next')?.serverId,
      'engine-0',
    );
  },
);

t.test('ServerState counts only load above its own recent peak as foreign', async (t) => {
  // Guards against half of the slots staying idle under load. Reports lag and
  // still show requests that have ended here, which must not be taken for
  // foreign load.
  const group = createGroup(buildSpecs(1, 16));
  const server = group.pool.findServer('engine-0');
  for (let index = 0; index < 10; index += 1) group.submit(buildDemand(String(index)), 0);
  group.run(0);
  group.pool
    .listHeld()
    .forEach(({ grantId }) =>
      group.release(
        grantId,
        { verdict: ServerVerdict.Unknown, firstByteMs: 0, totalMs: 0, outputTokens: 0 },
        10,
      ),
    );
  server?.recordLoadReport(10, false, 500);
  t.equal(server?.predictForeignLoad(500), 0, 'own requests that have just ended');
  server?.recordLoadReport(14, false, 600);
  t.equal(server?.predictForeignLoad(600), 4);
  t.equal(server?.predictForeignLoad(10_000), 0, 'an expired report is ignored');
});

t.test('ServerSpeed separates queueing time from the cost of tokens', async (t) => {
  const speed = new ServerSpeed(START, false);
  for (let index = 0; index < 300; index += 1) {
    const prefillTokens = index % 2 === 0 ? 20 : 4000;
    const firstByteMs = 300 + prefillTokens / 4;
    speed.observe({ prefillTokens, outputTokens: 50, firstByteMs, totalMs: firstByteMs + 2000 });
  }
  t.ok(Math.abs(speed.predictFirstByteMs(20) - 305) < 60, `${speed.predictFirstByteMs(20)}`);
  t.ok(Math.abs(speed.predictFirstByteMs(4000) - 1300) < 150, `${speed.predictFirstByteMs(4000)}`);
  t.ok(Math.abs(speed.decodeTokensPerSecond - 25) < 1);
  t.ok(speed.computeSlowdown() > 1.9);
});

t.test('CacheHints expire with age, and drop the oldest first', async (t) => {
  const hints = new CacheHints();
  ['a', 'b', 'd'].forEach((hash) => hints.recordStored(hash, 0));
  t.equal(hints.predictCachedTokens(['a', 'b', 'c', 'd'], 0), 128, 'counts up to the first gap');
  t.equal(
    hints.predictCachedTokens(['a', 'b'], 60_000),
    64,
    'discounted by half at half the maximum age',
  );
  t.equal(hints.predictCachedTokens(['a', 'b'], 120_000), 0);
  hints.recordRemoved('a');
  t.equal(hints.predictCachedTokens(['a', 'b'], 0), 0);
  for (let index = 0; index < 9000; index += 1) hints.recordStored(`block-${index}`, 0);
  t.equal(hints.predictCachedTokens(['d'], 0), 0);
  t.equal(hints.predictCachedTokens(['block-8999'], 0), 64);
});

t.test('ServerPool sends a prompt to the server that probably has its prefix cached', async (t) => {
  const group = createGroup(
    [0, 1].map((index) => ({ ...START, id: `engine-${index}`, slots: 8, isLeaving: false })),
  );
  const prompt = { promptTokens: 4000, blockHashes: Array.from({ length: 62 }, (_, i) => `h${i}`) };
  group.pool.findServer('engine-1')?.hints.recordStored('h0', 0);
  prompt.blockHashes.forEach((hash) =>
    group.pool.findServer('engine-1')?.hints.recordStored(hash, 0),
  );
  const servers = new Set<string>();
  for (let index = 0; index < 4; index += 1) {
    group.submit(buildDemand(String(index), { ...prompt, expectedOutputTokens: 5 }), 0);
    group.run(0);
  }
  group.pool.listHeld().forEach(({ serverId }) => servers.add(serverId));
  t.same([...servers], ['engine-1']);
});

t.test('ServerPool reserves a fraction of each window for higher tiers', async (t) => {
  const strategy = createStrategy(StrategyName.Dispatcher, { reserveFraction: 0.125 });
  const counts = [Tier.Batch, Tier.Standard, Tier.Urgent].map((tier) => {
    const group = createGroup(buildSpecs(1, 16), strategy);
    for (let index = 0; index < 30; index += 1)
      group.submit(buildDemand(String(index), { tier, deadlineAtMs: 1_000_000 }), 0);
    group.run(0);
    return group.pool.heldCount;
  });
  t.same(counts, [12, 14, 16]);
});

t.test(
  'pickNearBest() spreads simultaneous requests over the candidates near the best',
  async (t) => {
    // Guards against sending all requests of a moment to one backend server. They
    // all see the same stale data, so always taking the very best would pick the
    // same server.
    const candidates = [100, 105, 110, 400].map((finishMs, index) => ({
      id: `engine-${index}`,
      finishMs,
      cachedTokens: 0,
      utilization: 0.5,
      reportedLoad: 0,
    }));
    const random = new SeededRandom(42);
    const counts = new Map<string, number>();
    for (let index = 0; index < 3000; index += 1) {
      const id = pickNearBest(candidates, () => random.nextFraction())?.id ?? '';
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    t.same([...counts.keys()].sort(), ['engine-0', 'engine-1', 'engine-2']);
    t.ok(
      [...counts.values()].every((count) => count > 900 && count < 1100),
      'evenly',
    );
    const warm = candidates.map((one, index) => ({ ...one, cachedTokens: index * 64 }));
    t.equal(pickNearBest(warm, () => 0)?.id, 'engine-2', 'the warmest candidate near the best');
    t.equal(
      pickNearBest([], () => 0),
      undefined,
    );
  },
);
