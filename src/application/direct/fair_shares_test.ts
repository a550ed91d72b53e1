/**
 * Tests the shares of client accounts over a fleet of entry hosts, in order and among failures.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { AccountFleet } from '../../../test/support/account_fleet.js';
import type { AccountCalls } from '../../../test/support/account_fleet.js';
import { buildDocument } from '../../../test/support/direct_documents.js';
import { ErrorKind } from '../../domain/errors/mod.js';
import type { ClientAccount } from '../../domain/routing/mod.js';

const QUIET_IDS = ['a', 'b', 'c', 'd', 'e'];

/** 20 slots serve 100 calls a second; the quiet accounts send half of that. */
const QUIET: readonly AccountCalls[] = QUIET_IDS.map((accountId) => ({
  accountId,
  callsPerSecond: 10,
}));

/** Seven and a half times the usual load of an account, and as much as all slots bear. */
const HOT: AccountCalls = { accountId: 'hot', callsPerSecond: 100 };

const ROUTE = { targetMs: 600, timeoutMs: 3_000 };

const RUN_MS = 6_000;

async function startFleet(t: Test, hosts = 6): Promise<AccountFleet> {
  const accounts = [...QUIET_IDS, 'hot'];
  const fleet = new AccountFleet(t, {
    hosts,
    servers: 4,
    slots: 5,
    accounts,
    route: ROUTE,
    hasFairShares: true,
  });
  await fleet.start();
  return fleet;
}

function measureQuiet(fleet: AccountFleet, fromMs: number): number[] {
  return QUIET_IDS.map((id) => fleet.measureServed(id, fromMs));
}

/** Fractions of the calls of accounts that were served, and what may never happen. */
function checkShares(t: Test, fleet: AccountFleet, fromMs: number, minServed: number): void {
  const quiet = measureQuiet(fleet, fromMs);
  const hot = fleet.measureServed('hot', fromMs);
  t.ok(Math.min(...quiet) >= minServed, `${quiet.join()} of quiet accounts, ${hot} of the hot one`);
  t.equal(fleet.listLost().length, 0, 'no call is lost');
  t.equal(fleet.countRepeatedRuns(), 0, 'no call runs twice');
}

async function runHot(fleet: AccountFleet): Promise<number> {
  const fromMs = fleet.clock.nowMs();
  await fleet.runAccounts([...QUIET, HOT], RUN_MS);
  await fleet.clock.advance(ROUTE.timeoutMs);
  return fromMs;
}

t.test('accounts within their share are served beside a hot one', async (t) => {
  // Guards against an account with many calls that takes the slots of all others.
  const fleet = await startFleet(t);
  checkShares(t, fleet, await runHot(fleet), 0.97);
});

t.test('a lone account gets all slots of all hosts', async (t) => {
  const fleet = await startFleet(t);
  await fleet.runAccounts([{ ...HOT, callsPerSecond: 95 }], RUN_MS);
  await fleet.clock.advance(ROUTE.timeoutMs);
  t.ok(fleet.measureServed('hot') > 0.9, `${fleet.measureServed('hot')}`);
});

t.test('half of the hosts are cut from their peers beside a hot account', async (t) => {
  // Guards against hosts that lose what they know of shares together with their peers.
  const fleet = await startFleet(t);
  await fleet.runAccounts([...QUIET, HOT], 2_000);
  const ids = fleet.hosts.map(({ peers }) => peers.identity.id);
  ids.slice(0, 3).forEach((id) =>
    fleet.hub.partition(
      [id],
      ids.filter((other) => other !== id),
    ),
  );
  checkShares(t, fleet, await runHot(fleet), 0.85);
  fleet.hub.healAll();
  await fleet.clock.advance(3_000);
  checkShares(t, fleet, await runHot(fleet), 0.95);
});

t.test('two halves of a fleet that are cut from each other keep the shares', async (t) => {
  // Guards against sums of the other half that stay in the order for good.
  const fleet = await startFleet(t);
  await fleet.runAccounts([...QUIET, HOT], 2_000);
  const ids = fleet.hosts.map(({ peers }) => peers.identity.id);
  fleet.hub.partition(ids.slice(0, 3), ids.slice(3));
  checkShares(t, fleet, await runHot(fleet), 0.85);
});

t.test('reports that are a second old leave accounts better off than a hot one', async (t) => {
  // Guards against an order that turns round with old sums. Requests here are five times shorter
  // than the reports are old, so hosts don't know the free slots, and no order can fill them.
  const fleet = await startFleet(t);
  fleet.hub.delay = { clock: fleet.clock, pickMs: () => 1_000 };
  await fleet.clock.advance(2_500);
  const fromMs = await runHot(fleet);
  checkShares(t, fleet, fromMs, fleet.measureServed('hot', fromMs));
  const laterMs = fleet.clock.nowMs();
  await fleet.runAccounts([...QUIET, { ...HOT, callsPerSecond: 30 }], RUN_MS);
  await fleet.clock.advance(ROUTE.timeoutMs);
  checkShares(t, fleet, laterMs, 0.9);
});

t.test('a relay that is lost beside a hot account leaves the shares', async (t) => {
  // Guards against members that count nothing of their peers until they have a new relay.
  const fleet = await startFleet(t, 16);
  await fleet.runAccounts([...QUIET, HOT], 1_000);
  const relay = fleet.hosts.find(({ reports }) => reports?.isRelay);
  t.ok(fleet.hosts.some(({ reports }) => reports?.isRelay === false));
  const fromMs = fleet.clock.nowMs();
  if (relay) {
    const { id } = relay.peers.identity;
    fleet.hosts
      .filter((host) => host !== relay)
      .forEach(({ peers }) => fleet.hub.silence(id, peers.identity.id));
  }
  const hosts = fleet.hosts.filter((host) => host !== relay);
  await fleet.runAccounts(
    [...QUIET, HOT].map((load) => ({ ...load, hosts })),
    RUN_MS,
  );
  await fleet.clock.advance(ROUTE.timeoutMs);
  checkShares(t, fleet, fromMs, 0.85);
});

/** Slot time of an account at all hosts, as the first host knows it. */
function findUsageMs(fleet: AccountFleet, accountId: string): number {
  const sums = fleet.hosts[0]?.gateway.accountUsage?.listBusiest(10) ?? [];
  return sums.find((sum) => sum.accountId === accountId)?.usageMs ?? 0;
}

/** Publishes a configuration in which the hot account is changed. */
async function changeHot(fleet: AccountFleet, changes: Partial<ClientAccount>): Promise<void> {
  const document = buildDocument(2, { accounts: [...QUIET_IDS, 'hot'], route: ROUTE });
  const accounts = document.accounts.map((account) =>
    account.id === 'hot' ? { ...account, ...changes } : account,
  );
  fleet.hosts.forEach(({ feed }) => feed.put('configuration', { ...document, accounts }));
  await fleet.clock.advance(50);
}

t.test(
  'an account that loses its key while its calls wait is refused, and leaves room',
  async (t) => {
    // Guards against waiting calls that keep their place, or are charged, without a key.
    const fleet = await startFleet(t);
    await fleet.runAccounts([...QUIET, HOT], 3_000);
    const before = fleet.accountCalls.length;
    const usageMs = findUsageMs(fleet, 'hot');
    await changeHot(fleet, { keys: ['other'] });
    const fromMs = fleet.clock.nowMs();
    await fleet.runAccounts([...QUIET, HOT], 4_000);
    await fleet.clock.advance(ROUTE.timeoutMs);
    t.equal(fleet.measureServed('hot', fromMs), 0);
    t.ok(Math.min(...measureQuiet(fleet, fromMs)) > 0.97, measureQuiet(fleet, fromMs).join());
    const kinds = fleet.accountCalls
      .slice(0, before)
      .filter(({ accountId }) => accountId === 'hot')
      .map(({ reply }) => reply.error?.kind);
    t.ok(kinds.includes(ErrorKind.Unauthenticated), 'waiting calls were refused at dispatch');
    t.equal(fleet.listLost().length, 0);
    t.ok(findUsageMs(fleet, 'hot') < 0.25 * usageMs, 'its usage decays');
  },
);

t.test('an account whose rank changes while its calls wait goes behind all others', async (t) => {
  // Guards against a lower rank that is served before a higher one for the sake of its share.
  const fleet = await startFleet(t);
  await fleet.runAccounts([...QUIET, HOT], 3_000);
  await changeHot(fleet, { rank: 1 });
  const fromMs = fleet.clock.nowMs();
  const busy = { accountId: 'a', callsPerSecond: 90 };
  await fleet.runAccounts([...QUIET.slice(1), busy, HOT], RUN_MS);
  await fleet.clock.advance(ROUTE.timeoutMs);
  const rankZero = measureQuiet(fleet, fromMs);
  const hot = fleet.measureServed('hot', fromMs);
  t.ok(hot < 0.15, `${hot} of the lower rank`);
  t.ok(Math.min(...rankZero.slice(1)) > 0.95, rankZero.join());
  t.equal(fleet.listLost().length, 0);
  t.equal(fleet.countRepeatedRuns(), 0);
});
