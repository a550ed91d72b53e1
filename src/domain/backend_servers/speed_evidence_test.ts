import t from 'tap';
import { SeededRandom } from '../../../test/support/fakes.js';
import { clampSums, computeDecay, fitSpeed, MAX_HOST_WEIGHT, SpeedSums } from './speed_evidence.js';

const FIELDS = ['decodeWeight', 'decodeMs', 'weight', 'lengthSquared', 'lengthMs'] as const;

const REMEMBERED = { fixedMs: 30, prefillMsPerToken: 0.008, decodeMsPerToken: 3 };

/** Evidence of a server that is slower than remembered by a factor. */
function buildEvidence(
  slowdown: number,
  lengths: readonly number[],
  sums = new SpeedSums(),
): SpeedSums {
  lengths.forEach((tokens) => {
    sums.addFirstByte(tokens, slowdown * (30 + 0.008 * tokens));
    sums.addDecode(slowdown * 3, 250);
  });
  return sums;
}

function isNear(value: number, expected: number, tolerance = 0.1): boolean {
  return Math.abs(value / expected - 1) <= tolerance;
}

t.test('fitSpeed() finds the parts of the first byte', async (t) => {
  const sums = new SpeedSums();
  const random = new SeededRandom(3);
  for (let sample = 0; sample < 400; sample += 1) {
    const tokens = 100 + 20_000 * random.nextFraction() ** 3;
    sums.addFirstByte(tokens, (80 + 0.02 * tokens) * (0.8 + 0.4 * random.nextFraction()));
    sums.addDecode(6, 250);
  }
  const { fixedMs, prefillMsPerToken, decodeMsPerToken } = fitSpeed(sums, REMEMBERED, 3);
  t.ok(isNear(fixedMs, 80), `${fixedMs}`);
  t.ok(isNear(prefillMsPerToken, 0.02), `${prefillMsPerToken}`);
  t.ok(isNear(decodeMsPerToken, 6), `${decodeMsPerToken}`);
});

t.test('fitSpeed() scales both parts by evidence of short prompts', async (t) => {
  // Guards against long prompts on a slow server that only had short ones since it became slow.
  const evidence = buildEvidence(5, new Array<number>(60).fill(500));
  const { fixedMs, prefillMsPerToken } = fitSpeed(evidence, REMEMBERED, 3);
  t.ok(isNear(fixedMs + 500 * prefillMsPerToken, 5 * 34), `${fixedMs}`);
  t.ok(isNear(fixedMs + 20_000 * prefillMsPerToken, 5 * 190, 0.25), `${prefillMsPerToken}`);
});

t.test('fitSpeed() gives what is remembered without evidence', async (t) => {
  const { fixedMs, prefillMsPerToken, decodeMsPerToken } = fitSpeed(new SpeedSums(), REMEMBERED, 3);
  t.ok(isNear(fixedMs, 30, 1e-6) && isNear(prefillMsPerToken, 0.008, 1e-6));
  t.equal(decodeMsPerToken, 3);
});

t.test('addSums() is exact for sums that decay at several hosts', async (t) => {
  // Guards against sums of sums that count a sample twice or not at all.
  const early = buildEvidence(1, [100, 5_000]);
  const late = buildEvidence(2, [900]);
  const atRelay = new SpeedSums();
  atRelay.add(early, computeDecay(1_000));
  atRelay.add(late, 1);
  const atReceiver = new SpeedSums();
  atReceiver.add(atRelay, computeDecay(500));
  const expected = new SpeedSums();
  expected.add(early, computeDecay(1_500));
  expected.add(late, computeDecay(500));
  FIELDS.forEach((field) => t.ok(isNear(atReceiver[field], expected[field], 1e-9), field));
});

t.test('clampSums() bounds what one host can change', async (t) => {
  // Guards against one host with a slow link, or one that lies, that spoils a server for all.
  const others = buildEvidence(1, new Array<number>(15).fill(1_000));
  const lie = buildEvidence(1_000, new Array<number>(400).fill(1_000));
  const clamped = clampSums(lie, others, REMEMBERED, 1);
  t.ok(clamped.firstByteCount <= MAX_HOST_WEIGHT + 1e-9);
  t.ok(clamped.decodeWeight <= MAX_HOST_WEIGHT + 1e-9);
  const total = new SpeedSums();
  total.add(others, 1);
  total.add(clamped, 1);
  const { fixedMs, prefillMsPerToken, decodeMsPerToken } = fitSpeed(total, REMEMBERED, 3);
  t.ok(decodeMsPerToken < 1.4 * 3, `${decodeMsPerToken}`);
  t.ok(fixedMs + 1_000 * prefillMsPerToken < 1.4 * 38, `${fixedMs}`);
});

t.test(
  'clampSums() compares with the others rather than with an estimate of the past',
  async (t) => {
    // Guards against a server that becomes much slower and is believed so only step by step.
    const others = buildEvidence(10, new Array<number>(15).fill(1_000));
    const same = clampSums(buildEvidence(10, [1_000]), others, REMEMBERED, 1);
    t.ok(isNear(same.decodeMs / same.decodeWeight, 30));
    const alone = clampSums(buildEvidence(10, [1_000]), new SpeedSums(), REMEMBERED, 1);
    t.ok(isNear(alone.decodeMs / alone.decodeWeight, 12));
  },
);
