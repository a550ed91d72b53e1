import t from 'tap';
import { WaitingLine } from './mod.js';
import type { WaitingCall } from './mod.js';

interface TestCall extends WaitingCall {
  readonly name: string;
}

function buildCall(name: string, changes: Partial<TestCall> = {}): TestCall {
  return { name, rank: 0, isLate: false, arrivedAtMs: 0, startByMs: 1_000, ...changes };
}

function listNames(line: WaitingLine<TestCall>): string[] {
  return line.list().map(({ name }) => name);
}

t.test('WaitingLine orders by rank, then lateness, then arrival', async (t) => {
  const line = new WaitingLine<TestCall>();
  line.add(buildCall('late', { isLate: true }));
  line.add(buildCall('batch', { rank: 2 }));
  line.add(buildCall('second', { arrivedAtMs: 5 }));
  line.add(buildCall('first', { arrivedAtMs: 1 }));
  t.same(listNames(line), ['first', 'second', 'late', 'batch']);
  t.equal(line.countAhead(buildCall('new', { arrivedAtMs: 9 })), 2);
  t.equal(line.countAhead(buildCall('low', { rank: 3 })), 4);
});

t.test('WaitingLine takes out what can no longer start in time', async (t) => {
  const line = new WaitingLine<TestCall>();
  line.add(buildCall('gone', { startByMs: 10 }));
  line.add(buildCall('stays', { startByMs: 50 }));
  t.same(
    line.takeExpired(10).map(({ name }) => name),
    ['gone'],
  );
  t.same(listNames(line), ['stays']);
  t.notOk(line.remove(buildCall('unknown')));
});

/** Outcome of {@link playOverload}. */
interface Served {
  readonly inTime: number;
  readonly late: number;
  readonly offered: number;
}

const STEP_MS = 10;
const WAIT_MS = 200;
const RETURN_MS = 1_000;
const OVERLOAD_MS = 5_000;
const END_MS = 15_000;

/**
 * One slot gets free each 10 ms; 1.2 calls come in that time for five seconds, then
 * 0.9. A call waits for 200 ms at most, then is refused and comes back once, after a
 * second; by then it is late.
 */
function playOverload(order: (call: TestCall) => TestCall): Served {
  const line = new WaitingLine<TestCall>();
  const returns: { readonly atMs: number }[] = [];
  let offered = 0;
  let inTime = 0;
  let late = 0;
  let credit = 0;
  for (let nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
    credit += nowMs < OVERLOAD_MS ? 1.2 : 0.9;
    while (credit >= 1) {
      credit -= 1;
      offered += 1;
      line.add(order(buildCall('new', { arrivedAtMs: nowMs, startByMs: nowMs + WAIT_MS })));
    }
    while ((returns[0]?.atMs ?? Infinity) <= nowMs) {
      returns.shift();
      const startByMs = nowMs + WAIT_MS;
      line.add(order(buildCall('back', { arrivedAtMs: nowMs, isLate: true, startByMs })));
    }
    const refused = line.takeExpired(nowMs).filter(({ name }) => name === 'new');
    refused.forEach(() => returns.push({ atMs: nowMs + RETURN_MS }));
    const first = line.list()[0];
    if (first) {
      line.remove(first);
      if (first.name === 'new') inTime += 1;
      else late += 1;
    }
  }
  return { inTime, late, offered };
}

t.test(
  'late callers first, an overload outlives its cause; last, most calls are in time',
  async (t) => {
    // The pattern: arrivals of 1.2 times what can be served, for five seconds, as measured
    // at a burst of 1.7 times the usual traffic on engines that had a third to spare.
    const lateLast = playOverload((call) => call);
    const lateFirst = playOverload((call) => ({ ...call, isLate: !call.isLate }));
    t.ok(lateLast.inTime / lateLast.offered > 0.85, `${lateLast.inTime} of ${lateLast.offered}`);
    t.ok(lateFirst.inTime < lateLast.inTime * 0.9, `${lateFirst.inTime} of ${lateFirst.offered}`);
  },
);
