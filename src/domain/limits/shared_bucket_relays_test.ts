import fc from 'fast-check';
import t from 'tap';
import { isWithinBound } from '../../../test/support/spending.js';
import type { Spending } from '../../../test/support/spending.js';
import { SharedBucket } from './mod.js';

const LIMIT = { ratePerSecond: 1_000, capacity: 1_000 };
const PEER_TIMEOUT_MS = 450;
const EXCHANGE_INTERVAL_MS = 150;
const GROUP_COUNT = 3;
const GROUP_SIZE = 3;
const HOST_COUNT = GROUP_COUNT * GROUP_SIZE;

interface ReceivedReport {
  receivedAtMs: number;
  hostCount: number;
}

/**
 * Simulates entry hosts in groups. The first host of each group is its relay: members
 * report to their relay, relays report their groups to each other, and each relay reports
 * to every member what all other hosts spend.
 */
class RelayedHosts {
  buckets = Array.from({ length: HOST_COUNT }, () => createBucket(0));

  readonly incarnations = this.buckets.map(() => 0);

  sides = this.buckets.map(() => 0);

  /** Newest report that each host received, by sender and scope. */
  readonly #receivedReports = this.buckets.map(() => new Map<string, ReceivedReport>());

  restart(index: number, nowMs: number): void {
    this.buckets[index] = createBucket(nowMs);
    this.incarnations[index] = (this.incarnations[index] ?? 0) + 1;
    this.#receivedReports[index]?.clear();
  }

  exchange(nowMs: number): void {
    for (let host = 0; host < HOST_COUNT; host += 1) {
      const relay = host - (host % GROUP_SIZE);
      if (host !== relay) this.#report(host, relay, 'member', nowMs);
    }
    for (let relay = 0; relay < HOST_COUNT; relay += GROUP_SIZE) {
      for (let other = 0; other < HOST_COUNT; other += GROUP_SIZE) {
        if (other !== relay) this.#report(relay, other, 'group', nowMs);
      }
      for (let member = relay + 1; member < relay + GROUP_SIZE; member += 1) {
        this.#report(relay, member, 'fleet', nowMs);
      }
    }
    this.buckets.forEach((bucket, host) => {
      bucket.setReachableFraction(
        Math.min(1, (1 + this.#countReachableHosts(host, nowMs)) / HOST_COUNT),
        nowMs,
      );
    });
  }

  #report(sender: number, recipient: number, scope: string, nowMs: number): void {
    if (this.sides[sender] !== this.sides[recipient]) return;
    const bucket = this.buckets[sender] as SharedBucket;
    const receiver = `${recipient}/${this.incarnations[recipient]}/member`;
    const totals: Record<string, number> = {
      member: bucket.totalUnits,
      group: bucket.groupUnits,
      fleet: bucket.computeUnitsExcept(receiver),
    };
    const source = `${sender}/${this.incarnations[sender]}/${scope}`;
    (this.buckets[recipient] as SharedBucket).applyPeerReport(
      {
        source,
        totalUnits: totals[scope] ?? 0,
        isNewProcess: scope === 'member',
        isMember: scope === 'member',
      },
      nowMs,
    );
    this.#receivedReports[recipient]?.set(`${sender}/${scope}`, {
      receivedAtMs: nowMs,
      hostCount: this.#countReportedHosts(sender, recipient, scope, nowMs),
    });
  }

  #countReportedHosts(from: number, to: number, scope: string, nowMs: number): number {
    if (scope === 'member') return 1;
    const isIncluded = (source: string): boolean =>
      scope === 'group' ? source.endsWith('/member') : source !== `${to}/member`;
    return 1 + this.#countFreshHosts(from, nowMs, isIncluded);
  }

  #countReachableHosts(host: number, nowMs: number): number {
    return this.#countFreshHosts(host, nowMs, () => true);
  }

  #countFreshHosts(host: number, nowMs: number, isIncluded: (source: string) => boolean): number {
    return [...(this.#receivedReports[host] ?? new Map<string, ReceivedReport>())]
      .filter(
        ([source, { receivedAtMs }]) =>
          nowMs - receivedAtMs <= PEER_TIMEOUT_MS && isIncluded(source),
      )
      .reduce((sum, [, { hostCount }]) => sum + hostCount, 0);
  }
}

function createBucket(nowMs: number): SharedBucket {
  return new SharedBucket({ limit: LIMIT, nowMs, peerTimeoutMs: PEER_TIMEOUT_MS });
}

t.test('a relay sums its members and reports to each the spending of all others', async (t) => {
  const hosts = new RelayedHosts();
  hosts.exchange(0);
  hosts.buckets.forEach((bucket) => bucket.take(10, 0));
  [150, 300, 450, 600].forEach((nowMs) => hosts.exchange(nowMs));
  hosts.buckets.forEach((bucket, host) => {
    const isRelay = host % GROUP_SIZE === 0;
    if (isRelay) t.equal(bucket.groupUnits, GROUP_SIZE * 10, String(host));
    t.equal(bucket.computeUnitsExcept(''), HOST_COUNT * 10, String(host));
  });
});

t.test(
  'entry hosts in groups keep the limit with its tolerance over partitions and restarts',
  async (t) => {
    // The required bound over any eight seconds: 1.25 times the rate and the burst, plus a
    // slack for a few large requests, which is half of the units of one second.
    const WINDOW_MS = 8_000;
    const SLACK = 500;
    const bound = (LIMIT.ratePerSecond * 8 + LIMIT.capacity) * 1.25 + SLACK;
    const phase = fc.record({
      lengthMs: fc.integer({ min: 1_000, max: 6_000 }),
      sides: fc.array(fc.nat(2), { minLength: HOST_COUNT, maxLength: HOST_COUNT }),
      restarts: fc.array(fc.nat(HOST_COUNT - 1), { maxLength: 3 }),
      demand: fc.integer({ min: 1, max: 8 }),
    });
    fc.assert(
      fc.property(fc.array(phase, { minLength: 2, maxLength: 8 }), fc.nat(), (phases, salt) => {
        const hosts = new RelayedHosts();
        const spent: Spending[] = [];
        let nowMs = 0;
        let pick = salt;
        phases.forEach(({ lengthMs, sides, restarts, demand }) => {
          hosts.sides = sides;
          restarts.forEach((index) => hosts.restart(index, nowMs));
          const endMs = nowMs + lengthMs;
          for (; nowMs < endMs; nowMs += 30) {
            if (nowMs % EXCHANGE_INTERVAL_MS === 0) hosts.exchange(nowMs);
            for (let request = 0; request < demand; request += 1) {
              pick = (pick * 1_103_515_245 + 12_345) % 2_147_483_648;
              const units = 10 + (pick % 140);
              const bucket = hosts.buckets[pick % HOST_COUNT] as SharedBucket;
              if (bucket.take(units, nowMs) === 0) spent.push({ atMs: nowMs, units });
            }
          }
          nowMs -= nowMs % 30;
        });
        return isWithinBound(spent, WINDOW_MS, bound);
      }),
      { seed: 25, numRuns: 60 },
    );
    t.pass('no counterexample');
  },
);
