import t from 'tap';
import { decodeSpeeds, encodeSpeeds, hashIncarnation } from './speed_codec.js';
import { computeDecay, SpeedSums } from './speed_evidence.js';
import { SpeedTable } from './speed_table.js';

const KEY = hashIncarnation('engine-1@1700000000000');

const KNOWN = { fixedMs: 30, prefillMsPerToken: 0.01, decodeMsPerToken: 3 };

function buildSums(slowdown = 1, samples = 1): SpeedSums {
  const sums = new SpeedSums();
  for (let sample = 0; sample < samples; sample += 1) {
    sums.addFirstByte(1_000, 40 * slowdown);
    sums.addDecode(3 * slowdown, 250);
  }
  return sums;
}

function report(table: SpeedTable, source: string, sums: SpeedSums, nowMs: number): void {
  const reported = { hostCount: 1, sums: new Map([[KEY, sums]]) };
  table.apply(source, reported, nowMs, () => KNOWN);
}

function isNear(value: number, expected: number): boolean {
  return Math.abs(value - expected) <= 1e-6 * Math.max(1, expected);
}

t.test('SpeedTable replaces what a peer reported before, and lets it decay', async (t) => {
  // Guards against samples that count twice since a report repeats them.
  const table = new SpeedTable();
  report(table, 'a', buildSums(), 1_000);
  report(table, 'b', buildSums(), 1_000);
  report(table, 'a', buildSums(), 2_000);
  const expected = 1 + computeDecay(1_000);
  t.ok(isNear(table.sum(KEY, 2_000).decodeWeight, expected));
  t.ok(isNear(table.sum(KEY, 2_000, 'b').decodeWeight, 1));
  t.ok(isNear(table.sumOf(KEY, 2_000, ['b']).decodeWeight, computeDecay(1_000)));
  t.equal(table.countSources(KEY), 2);
  table.forget('a');
  t.ok(isNear(table.sum(KEY, 2_000).firstByteCount, computeDecay(1_000)));
});

t.test('SpeedTable stays exact for days', async (t) => {
  // Guards against numbers that overflow, since sums are kept as of one origin.
  const table = new SpeedTable();
  for (let nowMs = 0; nowMs < 3 * 86_400_000; nowMs += 45_000) {
    report(table, 'a', buildSums(), nowMs);
    report(table, 'b', buildSums(), nowMs + 10);
    if (nowMs % 900_000 === 0) {
      t.ok(isNear(table.sum(KEY, nowMs + 10).decodeWeight, 1 + computeDecay(10)));
    }
  }
});

t.test('SpeedTable bounds a host that lies, report after report', async (t) => {
  // Guards against a limit that moves with the lie which it limits.
  const table = new SpeedTable();
  for (let nowMs = 0; nowMs < 10_000; nowMs += 600) {
    for (let host = 0; host < 8; host += 1) report(table, `host-${host}`, buildSums(), nowMs);
    report(table, 'liar', buildSums(1_000, 100), nowMs);
  }
  const { decodeMs, decodeWeight } = table.sum(KEY, 10_000);
  t.ok(decodeMs / decodeWeight < 3 * 1.7, `${decodeMs / decodeWeight}`);
});

t.test('decodeSpeeds() reads what encodeSpeeds() gives', async (t) => {
  const sums = buildSums(2, 3);
  sums.addFirstByte(50_000, 600);
  const decoded = decodeSpeeds(encodeSpeeds(new Map([[KEY, sums]]))).get(KEY) as SpeedSums;
  t.ok(Math.abs(decoded.decodeMs / decoded.decodeWeight - 6) < 0.01);
  t.ok(Math.abs(decoded.firstByteCount - 4) < 0.01);
  t.ok(Math.abs(decoded.lengthMs / sums.lengthMs - 1) < 0.01);
});

t.test('decodeSpeeds() leaves out what no samples can give', async (t) => {
  // Guards against a faulty report that makes estimates infinite or not a number.
  t.same([...decodeSpeeds([KEY, 0, 0, 0, 0, 0, 0, 0])], []);
  t.same([...decodeSpeeds([KEY, 5, 0, 1_000, 0, 0, 0, 0])], [], 'samples that took no time');
  t.same([...decodeSpeeds([KEY, 1, 1])], [], 'an incomplete entry');
});
