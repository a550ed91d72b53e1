/**
 * Tests a demand that oscillates around the capacity, with and without an account that sends more
 * than usual.
 *
 * @module
 */
import t from 'tap';
import { playWave } from '../../../test/support/load_cases.js';
import {
  checkNoneLost,
  checkRanks,
  MIN_LARGEST_SERVED,
} from '../../../test/support/load_checks.js';
import type { LoadFleet } from '../../../test/support/load_fleet.js';
import { listOutcomes, measureLoad, measureServed } from '../../../test/support/load_results.js';

const TEST_TIMEOUT_MS = 200_000;

const SEED = 1;

const DURATION_MS = 13_000;

/** Largest loss of accounts that send as usual because of one that doesn't, as a fraction. */
const MAX_NEIGHBOR_LOSS = 0.03;

const HOT_ACCOUNT = 'firm-1';

const usual = playWave(t, SEED, { isHot: false, durationMs: DURATION_MS });
const hot = usual.then(() => playWave(t, SEED, { isHot: true, durationMs: DURATION_MS }));

t.setTimeout(TEST_TIMEOUT_MS);

function measureOthers(fleet: LoadFleet): number {
  const outcomes = listOutcomes(fleet, {});
  return measureServed(outcomes.filter(({ call }) => call.accountId !== HOT_ACCOUNT));
}

t.test('calls of an overloaded fleet end in time', async (t) => {
  // Guards against calls that wait past their deadline, and against rejections of calls that ran.
  t.setTimeout(TEST_TIMEOUT_MS);
  checkNoneLost(t, await usual);
  checkNoneLost(t, await hot);
});

t.test('calls of rank 0 are not rejected in favour of others in a wave', async (t) => {
  // Guards against calls of rank 0 that are told to return although lower ranks are served.
  t.setTimeout(TEST_TIMEOUT_MS);
  checkRanks(t, await usual);
});

t.test('calls of rank 0 are not rejected in favour of a hot account', async (t) => {
  // Guards against the same while one account takes more than the fleet has.
  t.setTimeout(TEST_TIMEOUT_MS);
  checkRanks(t, await hot);
});

t.test('large requests are served in an overload', async (t) => {
  // Guards against rules that refuse what is large because it takes longer.
  t.setTimeout(TEST_TIMEOUT_MS);
  for (const fleet of [await usual, await hot]) {
    const { largestServed } = measureLoad(fleet.outcomes, fleet.load.targetGapMs);
    t.ok(largestServed >= MIN_LARGEST_SERVED, String(largestServed));
  }
});

t.test('accounts that send as usual are served beside a hot account', async (t) => {
  // Guards against an account that takes the slots of others by sending more.
  t.setTimeout(TEST_TIMEOUT_MS);
  const alone = measureOthers(await usual);
  const beside = measureOthers(await hot);
  t.ok(beside >= alone - MAX_NEIGHBOR_LOSS, `${beside} beside the hot account, ${alone} without`);
});
