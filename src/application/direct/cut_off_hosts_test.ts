/**
 * Tests entry hosts that lose their links to backend servers.
 *
 * @module
 */
import t from 'tap';
import {
  compareServed,
  CutFleet,
  CutMode,
  listUnanswered,
  MIN_SERVED_FRACTION,
} from '../../../test/support/cut_fleet.js';

const ROUTE = { timeoutMs: 5_000, targetMs: 200 };

/** Time after which callers of hosts that are cut off must be served, in milliseconds. */
const GRACE_MS = 3_000;

const CUT_MS = 9_000;

t.test('callers of hosts without links to any server are served like the others', async (t) => {
  // Guards against hosts that hold the loss of their own links against the servers.
  for (const mode of Object.values(CutMode)) {
    for (const cutIds of [['h-2'], ['h-2', 'h-5'], ['h-1', 'h-3', 'h-5', 'h-7']]) {
      const fleet = new CutFleet(t, { hosts: 7, servers: 13, route: ROUTE, seed: 45 });
      await fleet.start();
      await fleet.run({ callsPerSecond: 100, durationMs: 2_000 });
      fleet.cut(cutIds, mode);
      const fromMs = fleet.clock.nowMs() + GRACE_MS;
      await fleet.run({ callsPerSecond: 100, durationMs: CUT_MS });
      await fleet.clock.advance(ROUTE.timeoutMs);
      const part = compareServed(fleet, cutIds, fromMs);
      t.ok(part >= MIN_SERVED_FRACTION, `${mode}, ${cutIds.length} hosts: ${part.toFixed(2)}`);
      t.equal(listUnanswered(fleet.calls).length, 0, 'all calls have ended');
      t.equal(fleet.countRepeatedRuns(), 0, 'no request ran twice');
    }
  }
});
