/**
 * Checks what must hold under any load and failure.
 *
 * @module
 */
import type { Test } from 'tap';
import type { DirectHost } from './direct_host.js';
import type { LoadFleet, LoadOutcome } from './load_fleet.js';
import {
  countFalseRejections,
  countInversions,
  groupOutcomes,
  measureLoad,
  measureServed,
} from './load_results.js';

/** Largest fraction of calls of rank 0 that may be rejected while later ones of lower rank start. */
export const MAX_INVERSIONS = 0.02;

/** Smallest share of the largest tenth of calls that is served, compared with their kind. */
export const MIN_LARGEST_SERVED = 0.8;

/** Smallest share of an account's calls that is served, compared with all. */
export const MIN_ACCOUNT_SERVED = 0.8;

/** Time after which the last reports of an entry host that has ended don't count, in milliseconds. */
const SILENCE_MS = 1_000;

/** Smallest share of the requests in flight that an entry host knows of, or overrates them by. */
export const MIN_KNOWN = 0.7;

/** Checks that each call has its final response in time, and that rejected ones have not run. */
export function checkNoneLost(t: Test, fleet: LoadFleet): void {
  const { overdue } = measureLoad(fleet.outcomes, fleet.load.targetGapMs);
  t.equal(overdue, 0, 'no call is held past its time');
  t.equal(countFalseRejections(fleet), 0, 'no call is rejected that has run');
}

/** Checks that calls of rank 0 aren't rejected in favour of calls of lower rank. */
export function checkRanks(t: Test, fleet: LoadFleet, outcomes = fleet.outcomes): void {
  const first = outcomes.filter(({ call }) => call.kind.rank === 0);
  const inversions = countInversions(fleet, first);
  const text = `${inversions} inversions in ${first.length} calls of rank 0`;
  t.ok(inversions <= MAX_INVERSIONS * first.length, text);
}

/** Checks that no account is served much less often than all. */
export function checkAccounts(t: Test, outcomes: readonly LoadOutcome[]): void {
  const accounts = [...groupOutcomes(outcomes, ({ call }) => call.accountId).values()];
  const worst = Math.min(...accounts.map(measureServed));
  const all = measureServed(outcomes);
  t.ok(worst >= MIN_ACCOUNT_SERVED * all, `worst account ${worst}, all ${all}`);
}

/** Checks that each entry host knows of most requests in flight, by reports that may be late. */
export function checkKnown(t: Test, fleet: LoadFleet): void {
  const total = [...fleet.engines.values()].reduce((sum, { inFlight }) => sum + inFlight, 0);
  fleet.hosts.forEach((host) => {
    const known = countKnown(fleet, host);
    const text = `${host.peers.identity.id} knows ${known} of ${total}`;
    t.ok(known >= MIN_KNOWN * total && known * MIN_KNOWN <= total, text);
  });
}

/** Checks that no entry host counts requests as in flight after all calls have ended. */
export async function checkIdle(t: Test, fleet: LoadFleet): Promise<void> {
  await fleet.clock.advance(SILENCE_MS);
  const busy = fleet.hosts.filter((host) => countKnown(fleet, host) > 0);
  t.equal(busy.length, 0, 'no slot stays taken');
}

function countKnown({ engines }: LoadFleet, { servers }: DirectHost): number {
  return [...engines.keys()].reduce((sum, id) => sum + (servers.loads.find(id)?.inFlight ?? 0), 0);
}
