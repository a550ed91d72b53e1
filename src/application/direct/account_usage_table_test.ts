import t from 'tap';
import { CutFleet } from '../../../test/support/cut_fleet.js';
import { FakeLog, FakeMetrics } from '../../../test/support/fakes.js';
import { NO_STATS } from '../../../test/support/server_registries.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { AccountUsageTable, MAX_REPORTED_ACCOUNTS } from './_account_usage_table.js';
import { PeerStatsTable } from './_peer_stats.js';

const A = { accountId: 'a', weight: 1 };

/** A host's usage, and the reports of its peers. */
class UsageHost {
  readonly clock = new VirtualClock();

  readonly log = new FakeLog();

  readonly metrics = new FakeMetrics();

  readonly peers = new PeerStatsTable();

  readonly usages = new AccountUsageTable(this);

  report(source: string, accountUsage: Record<string, number>): void {
    this.peers.set(source, { ...NO_STATS, accountUsage });
  }

  computeTag(serviceId: string, accountId = 'a'): number {
    const { usage, nowMs } = this.usages.getOrder(serviceId);
    return usage.computeTag({ accountId, weight: 1 }, nowMs());
  }
}

t.test('usage at one service does not count at another one', async (t) => {
  // Guards against accounts that come last at a plain service because they use model engines.
  const host = new UsageHost();
  host.usages.charge('engines', A, 500);
  t.equal(host.computeTag('engines'), 500);
  t.equal(host.computeTag('plain'), 0);
});

t.test('usage of peers counts until their reports end', async (t) => {
  const host = new UsageHost();
  host.usages.charge('engines', A, 500);
  host.report('peer-1', { 'engines\na': 200 });
  host.report('peer-2', { 'engines\na': 50, 'engines\nb': 70 });
  t.equal(host.computeTag('engines'), 750);
  t.equal(host.computeTag('engines', 'b'), 70);
  host.report('peer-1', { 'engines\na': 100 });
  t.equal(host.computeTag('engines'), 650, 'a report replaces the previous one');
  host.peers.set('peer-1', undefined);
  t.equal(host.computeTag('engines'), 550, 'a silent peer no longer counts');
});

t.test('charge() corrects the prediction when the slot is given back', async (t) => {
  const host = new UsageHost();
  const charge = host.usages.charge('engines', A, 5_000);
  await host.clock.advance(100);
  charge.settle();
  const tag = host.computeTag('engines');
  t.ok(tag > 95 && tag < 100, `${tag}`);
});

t.test('isBelowShare() compares an account with the average of its service', async (t) => {
  const host = new UsageHost();
  host.usages.charge('engines', A, 600);
  t.notOk(host.usages.isBelowShare('engines', A), 'a lone account');
  host.report('peer-1', { 'engines\nb': 1_600 });
  await host.clock.advance(100);
  t.ok(host.usages.isBelowShare('engines', A));
  t.notOk(host.usages.isBelowShare('engines', { accountId: 'b', weight: 1 }));
  t.ok(host.usages.isBelowShare('engines', { accountId: 'b', weight: 4 }), 'by its weight');
  t.notOk(host.usages.isBelowShare('plain', A), 'a service without usage');
});

t.test('listReported() adds up some peers and this host', async (t) => {
  const host = new UsageHost();
  host.usages.charge('engines', A, 500);
  ['1', '2', '3'].forEach((id) => host.report(`peer-${id}`, { 'engines\na': 10, 'engines\nb': 1 }));
  t.same(host.usages.listReported([]), { 'engines\na': 500 });
  t.same(host.usages.listReported(['peer-1']), { 'engines\na': 510, 'engines\nb': 1 });
  const most = host.usages.listReported(['peer-1', 'peer-2']);
  t.same(most, { 'engines\na': 520, 'engines\nb': 2 }, 'most peers, by subtraction of the others');
});

t.test('listReported() lists the busiest accounts only', async (t) => {
  // Guards against reports that grow with the number of accounts.
  const host = new UsageHost();
  for (let index = 1; index <= 200; index += 1) {
    host.usages.charge('engines', { accountId: `x-${index}`, weight: 1 }, index);
    host.report(`peer-${index}`, { [`engines\ny-${index}`]: 2 * index });
  }
  const own = host.usages.listReported([]);
  t.equal(Object.keys(own).length, MAX_REPORTED_ACCOUNTS);
  t.equal(own['engines\nx-200'], 200);
  const all = host.usages.listReported(Array.from({ length: 199 }, (_, i) => `peer-${i + 2}`));
  t.equal(Object.keys(all).length, MAX_REPORTED_ACCOUNTS);
  t.equal(all['engines\ny-200'], 400);
  t.equal(all['engines\ny-1'], undefined);
  t.equal(host.usages.listBusiest(1)[0]?.accountId, 'y-200');
});

t.test('all hosts know the usage of an account at all hosts, through relays too', async (t) => {
  const fleet = new CutFleet(t, {
    hosts: 8,
    servers: 4,
    accounts: ['b'],
    hasFairShares: true,
  });
  await fleet.start();
  await fleet.run({ callsPerSecond: 50, durationMs: 3_000 });
  await fleet.run({
    callsPerSecond: 50,
    durationMs: 1_000,
    request: { key: 'key-b' },
    hosts: fleet.hosts.slice(0, 1),
  });
  const sums = fleet.hosts.map(({ gateway }) => gateway.accountUsage?.listBusiest(2) ?? []);
  const [first = []] = sums;
  t.same(
    first.map(({ accountId }) => accountId),
    ['firm-a', 'b'],
  );
  sums.forEach((own, index) => {
    own.forEach(({ usageMs }, place) => {
      const ratio = usageMs / (first[place]?.usageMs ?? 0);
      t.ok(ratio > 0.85 && ratio < 1.15, `host ${index + 1}: ${JSON.stringify(own)}`);
    });
  });
});
