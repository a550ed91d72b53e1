import t from 'tap';
import { computeRejectedFraction, GateChange, LatenessGate } from './lateness_gate.js';

/** Time after the start at which the tests begin, and interval between their samples. */
const BEGIN_MS = 10_000;
const INTERVAL_MS = 50;

/** Records samples, each as late as given. @returns the changes */
function recordAll(gate: LatenessGate, lateMs: readonly number[], fromMs = BEGIN_MS): string[] {
  let nowMs = fromMs;
  return lateMs.flatMap((sample) => {
    nowMs += INTERVAL_MS + sample;
    return gate.record(sample, nowMs) ?? [];
  });
}

t.test('LatenessGate closes when its samples stay late', async (t) => {
  const gate = new LatenessGate(0);
  t.same(recordAll(gate, [0, 200, 200]), []);
  t.same(recordAll(gate, [200]), [GateChange.Closed]);
  recordAll(gate, [200, 200, 200, 200, 200]);
  t.equal(gate.severity, 1);
});

t.test('LatenessGate stays open for a process that is not starved', async (t) => {
  // Guards against calls that are rejected although this host would have served them in time.
  const cases: Record<string, readonly number[]> = {
    idle: [0, 1, 0, 2],
    'machine that stands still for the rest of a tenth of a second': Array(40).fill(100),
    'garbage collections': [0, 400, 0, 0, 400, 0, 0, 400, 300, 0],
    'pause, and the work that piled up in it': [0, 60_000, 300, 200, 0],
    'short pauses': [0, 900, 0, 900, 0, 900],
  };
  for (const [name, samples] of Object.entries(cases)) {
    t.same(recordAll(new LatenessGate(0), samples), [], name);
  }
  t.same(recordAll(new LatenessGate(0), Array(8).fill(300), 0), [], 'start of the process');
});

t.test('LatenessGate closes when every turn takes longer than a pause', async (t) => {
  // Guards against starvation that is taken for a row of pauses.
  t.same(recordAll(new LatenessGate(0), [0, 200, 1_500, 1_500]), [GateChange.Closed]);
});

t.test('LatenessGate opens gradually, and only when the process is on time', async (t) => {
  // Guards against a load that returns at once and closes the gate again.
  const gate = new LatenessGate(0);
  recordAll(gate, Array(8).fill(200));
  t.same(recordAll(gate, Array(20).fill(120), 12_000), []);
  t.equal(gate.severity, 1, 'neither late nor on time');
  const opening = recordAll(gate, Array(30).fill(0), 15_400);
  t.same(opening, []);
  t.ok(gate.severity > 0 && gate.severity < 1, 'some calls are rejected');
  t.same(recordAll(gate, Array(30).fill(0), 16_900), [GateChange.Opened]);
  t.equal(gate.severity, 0);
});

t.test(
  'computeRejectedFraction() rejects no call while one of a lower rank is admitted',
  async (t) => {
    for (let severity = 0; severity <= 1; severity += 0.01) {
      const fractions = [0, 1, 2].map((rank) => computeRejectedFraction(severity, rank, 3));
      fractions.slice(1).forEach((lower, index) => {
        t.ok(fractions[index] === 0 || lower === 1, `severity ${severity}, rank ${index}`);
      });
    }
    t.equal(computeRejectedFraction(0, 2, 3), 0);
    t.equal(computeRejectedFraction(1, 2, 3), 1);
  },
);

t.test('computeRejectedFraction() admits some of the most urgent calls', async (t) => {
  // Guards against a host that takes nothing and never learns that it could.
  t.ok(computeRejectedFraction(1, 0, 3) <= 0.9);
  t.ok(computeRejectedFraction(1, 0, 1) <= 0.9);
});
