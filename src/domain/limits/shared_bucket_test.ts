import fc from 'fast-check';
import t from 'tap';
import { isWithinBound } from '../../../test/support/spending.js';
import type { Spending } from '../../../test/support/spending.js';
import { SharedBucket } from './mod.js';
import type { SpendingReport } from './mod.js';

const LIMIT = { ratePerSecond: 1_000, capacity: 1_000 };
const PEER_TIMEOUT_MS = 450;
const RUN_OPTIONS = { seed: 24, numRuns: 60 };

function createBucket(nowMs = 0): SharedBucket {
  return new SharedBucket({ limit: LIMIT, nowMs, peerTimeoutMs: PEER_TIMEOUT_MS });
}

function buildReport(source: string, totalUnits: number): SpendingReport {
  return { source, totalUnits, isNewProcess: true, isMember: false };
}

t.test('SharedBucket starts at a low level and refills to its capacity', async (t) => {
  const bucket = createBucket();
  t.equal(bucket.take(200, 0), 0);
  t.ok(bucket.take(100, 0) > 0);
  t.equal(bucket.take(500, 10_000), 0);
  t.equal(bucket.take(500, 10_450), 0);
  t.ok(bucket.take(500, 10_451) > 0);
});

t.test('SharedBucket bounds what one entry host spends before its peers know', async (t) => {
  // Guards against an account that spends several times its limit around a partition: the
  // bucket is full, the entry hosts lose contact, and until they detect it each side spends
  // the whole level, since unreported spending has no bound of its own.
  const bucket = createBucket();
  t.equal(bucket.take(500, 10_000), 0);
  t.ok(bucket.take(100, 10_000) > 0);
});

t.test('SharedBucket admits a request larger than its capacity and repays the debt', async (t) => {
  // Guards against refusing the longest prompts of a small account forever, because a request
  // needs more units than the bucket can ever hold.
  const bucket = createBucket();
  t.equal(bucket.take(3_000, 5_000), 0);
  t.ok(bucket.take(1, 6_000) > 0);
  t.equal(bucket.take(1, 8_000), 0);
});

t.test('SharedBucket subtracts the units that peers report exactly once', async (t) => {
  const bucket = createBucket();
  bucket.applyPeerReport(buildReport('peer', 0), 5_000);
  bucket.applyPeerReport(buildReport('peer', 900), 5_100);
  bucket.applyPeerReport(buildReport('peer', 900), 5_100);
  t.ok(bucket.take(200, 5_100) > 0);
  t.equal(bucket.take(100, 5_100), 0);
});

t.test('SharedBucket returns the units of a request that never ran', async (t) => {
  const bucket = createBucket();
  bucket.take(200, 0);
  bucket.release(200);
  t.equal(bucket.take(200, 0), 0);
  t.equal(bucket.totalUnits, 200);
});

t.test('SharedBucket refills at a fraction of the rate while peers are unreachable', async (t) => {
  const bucket = createBucket();
  bucket.setReachableFraction(0.25, 0);
  bucket.take(50, 0);
  t.equal(bucket.take(125, 10_000), 0);
  t.equal(bucket.take(125, 10_000), 0);
  t.ok(bucket.take(10, 10_000) > 0);
  t.equal(bucket.take(10, 10_040), 0);
});

/** Simulates entry hosts that exchange totals with the hosts on their side of a partition. */
class SimulatedHosts {
  readonly count: number;

  readonly buckets: SharedBucket[];

  readonly incarnations: number[];

  /** Side of the partition that each entry host is on. */
  sides: number[];

  readonly #lastHeardAtMs: number[][];

  constructor(count: number) {
    this.count = count;
    this.buckets = Array.from({ length: count }, () => createBucket());
    this.incarnations = this.buckets.map(() => 0);
    this.sides = this.buckets.map(() => 0);
    this.#lastHeardAtMs = this.buckets.map(() => this.buckets.map(() => 0));
  }

  restart(index: number, nowMs: number): void {
    this.buckets[index] = createBucket(nowMs);
    this.incarnations[index] = (this.incarnations[index] ?? 0) + 1;
  }

  exchange(nowMs: number): void {
    this.buckets.forEach((bucket, to) => {
      const lastHeardAtMs = this.#lastHeardAtMs[to] as number[];
      this.buckets.forEach((other, from) => {
        if (from === to || this.sides[from] !== this.sides[to]) return;
        lastHeardAtMs[from] = nowMs;
        const source = `${from}/${this.incarnations[from]}`;
        bucket.applyPeerReport(buildReport(source, other.totalUnits), nowMs);
      });
      const reachableCount = lastHeardAtMs.filter(
        (atMs, from) => from === to || nowMs - atMs <= PEER_TIMEOUT_MS,
      ).length;
      bucket.setReachableFraction(reachableCount / this.count, nowMs);
    });
  }
}

t.test(
  'entry hosts together keep the limit with its tolerance over partitions and restarts',
  async (t) => {
    // The required bound over any eight seconds: 1.25 times the rate and the burst, plus a
    // slack for a few large requests, which is half of the units of one second.
    const WINDOW_MS = 8_000;
    const SLACK = 500;
    const bound = (LIMIT.ratePerSecond * 8 + LIMIT.capacity) * 1.25 + SLACK;
    const phase = fc.record({
      lengthMs: fc.integer({ min: 1_000, max: 6_000 }),
      sides: fc.array(fc.nat(2), { minLength: 5, maxLength: 5 }),
      restarts: fc.array(fc.nat(4), { maxLength: 2 }),
      demand: fc.integer({ min: 1, max: 8 }),
    });
    fc.assert(
      fc.property(fc.array(phase, { minLength: 2, maxLength: 8 }), fc.nat(), (phases, salt) => {
        const hosts = new SimulatedHosts(5);
        const spent: Spending[] = [];
        let nowMs = 0;
        let pick = salt;
        const exchangeAtMs = 0;
        phases.forEach(({ lengthMs, sides, restarts, demand }) => {
          hosts.sides = sides;
          restarts.forEach((index) => hosts.restart(index, nowMs));
          const endMs = nowMs + lengthMs;
          for (; nowMs < endMs; nowMs += 20) {
            if (nowMs >= exchangeAtMs) hosts.exchange(nowMs);
            for (let request = 0; request < demand; request += 1) {
              pick = (pick * 1_103_515_245 + 12_345) % 2_147_483_648;
              const units = 10 + (pick % 140);
              const bucket = hosts.buckets[pick % 5] as SharedBucket;
              if (bucket.take(units, nowMs) === 0) spent.push({ atMs: nowMs, units });
            }
          }
        });
        return isWithinBound(spent, WINDOW_MS, bound);
      }),
      RUN_OPTIONS,
    );
    t.pass('no counterexample');
  },
);
