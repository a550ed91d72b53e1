import t from 'tap';
import fc from 'fast-check';
import { PeerReports } from './mod.js';
import type { PeerReport } from './mod.js';

const OPTIONS = { seed: 42, numRuns: 300 };
const INCARNATIONS = ['a', 'b', 'c'];

/** Builds the report of a heartbeat; equal arguments always give an equal report. */
function buildReport(incarnation: string, sequence: number): PeerReport {
  const leavingBackendServers = sequence % 3 === 0 ? [`${incarnation}-${sequence}`] : [];
  return {
    sequence,
    ready: sequence % 3 === 0,
    leaving: sequence % 5 === 0,
    leavingBackendServers,
  };
}

function mergeAll(deliveries: readonly (readonly [string, number])[]): PeerReports {
  const reports = new PeerReports();
  deliveries.forEach(([incarnation, sequence]) => {
    reports.merge(incarnation, buildReport(incarnation, sequence));
  });
  return reports;
}

function listNewest(reports: PeerReports): readonly (PeerReport | undefined)[] {
  return INCARNATIONS.map((incarnation) => reports.find(incarnation));
}

t.test('merge() does not depend on order or repetition of heartbeats', async (t) => {
  const deliveries = fc.array(fc.tuple(fc.constantFrom(...INCARNATIONS), fc.nat(30)), {
    maxLength: 40,
  });
  const orders = deliveries.chain((list) =>
    fc.tuple(
      fc.constant(list),
      fc.shuffledSubarray([...list, ...list], { minLength: 2 * list.length }),
    ),
  );
  fc.assert(
    fc.property(orders, ([list, shuffled]) => {
      t.same(listNewest(mergeAll(shuffled)), listNewest(mergeAll(list)));
    }),
    OPTIONS,
  );
});
