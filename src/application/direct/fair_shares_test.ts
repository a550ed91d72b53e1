/**
 * Tests the shares of client accounts over a fleet of entry hosts, in order and among failures.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { AccountFleet } from '../../../test/support/account_fleet.js';
import type { AccountCalls } from '../../../test/support/account_fleet.js';

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
  const fleet = new AccountFleet(t, { hosts, servers: 4, slots: 5, accounts, route: ROUTE });
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
