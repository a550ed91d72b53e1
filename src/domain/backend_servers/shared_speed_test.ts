import t from 'tap';
import { SharedSpeed } from './shared_speed.js';
import { computeDecay, SpeedSums } from './speed_evidence.js';

const STEP_MS = 150;

/** Lets peers see a server that has a slowdown, with seven answers a second. */
function playPeers(
  speed: SharedSpeed,
  sums: SpeedSums,
  { fromMs, forMs, slowdown }: { fromMs: number; forMs: number; slowdown: number },
): void {
  for (let nowMs = fromMs; nowMs < fromMs + forMs; nowMs += STEP_MS) {
    sums.add(sums, computeDecay(STEP_MS) - 1);
    sums.addFirstByte(1_000, 40 * slowdown);
    sums.addDecode(3 * slowdown, 250);
    sums.addDecode(3 * slowdown, 250);
    const peers = new SpeedSums();
    peers.add(sums, 1);
    speed.update(peers, nowMs);
  }
}

t.test('SharedSpeed follows the evidence of peers', async (t) => {
  const speed = new SharedSpeed(false);
  const sums = new SpeedSums();
  playPeers(speed, sums, { fromMs: 0, forMs: 3_000, slowdown: 1 });
  t.ok(Math.abs(speed.estimate.decodeMsPerToken - 3) < 0.2);
  t.ok(Math.abs(speed.predictFirstByteMs(1_000) - 40) < 4);
  playPeers(speed, sums, { fromMs: 3_000, forMs: 1_000, slowdown: 5 });
  t.ok(speed.estimate.decodeMsPerToken > 6, 'a factor of two is known within a second');
});

t.test('SharedSpeed remembers the speed when the evidence has decayed', async (t) => {
  // Guards against an order of servers that is forgotten in a pause of the load.
  const speed = new SharedSpeed(false);
  playPeers(speed, new SpeedSums(), { fromMs: 0, forMs: 5_000, slowdown: 2 });
  speed.update(new SpeedSums(), 60_000);
  t.ok(speed.isKnown);
  t.ok(Math.abs(speed.estimate.decodeMsPerToken - 6) < 0.5);
  t.ok(Math.abs(speed.predictFirstByteMs(1_000) - 80) < 8);
});

t.test('SharedSpeed starts from the speed that it is given until it knows its own', async (t) => {
  const speed = new SharedSpeed(false);
  speed.setStart({ fixedMs: 50, prefillMsPerToken: 0.01, decodeMsPerToken: 7 });
  t.equal(Math.round(speed.predictFirstByteMs(1_000)), 60);
  t.notOk(speed.isKnown);
  speed.observeDecode(100, 1_400, 0);
  t.ok(Math.abs(speed.estimate.decodeMsPerToken - 14) < 0.1, 'the first sample replaces it');
  speed.setStart({ fixedMs: 1, prefillMsPerToken: 0.01, decodeMsPerToken: 1 });
  t.ok(speed.estimate.decodeMsPerToken > 13, 'a known speed stays');
});

t.test('SharedSpeed reports its own samples with a bounded weight', async (t) => {
  const speed = new SharedSpeed(false);
  for (let sample = 0; sample < 50; sample += 1) speed.observeDecode(90, 270, 0);
  const { decodeWeight, decodeMs } = speed.getOwnEvidence(0);
  t.equal(decodeWeight, 2);
  t.ok(Math.abs(decodeMs / decodeWeight - 3) < 1e-6);
});

t.test('SharedSpeed of a plain service predicts whole calls', async (t) => {
  const speed = new SharedSpeed(true);
  for (let sample = 0; sample < 9; sample += 1) speed.observeFirstByte(0, 40, sample * 10);
  t.ok(Math.abs(speed.predictFirstByteMs(5_000) - 40) < 1);
});

t.test('SharedSpeed lets a server that is not used seem faster with time', async (t) => {
  // Guards against a server that was slow for a moment and that no host ever tries again, since all
  // of them share one estimate.
  const best = { fixedMs: 10, prefillMsPerToken: 0.01, decodeMsPerToken: 3 };
  const speed = new SharedSpeed(false);
  playPeers(speed, new SpeedSums(), { fromMs: 0, forMs: 5_000, slowdown: 5 });
  speed.relax(best, 60_000);
  t.ok(speed.estimate.decodeMsPerToken > 14, 'not while there is evidence');
  speed.update(new SpeedSums(), 60_000);
  speed.relax(best, 8_000);
  t.ok(Math.abs(speed.estimate.decodeMsPerToken - 9) < 0.7, 'half of the difference');
  for (let elapsedMs = 0; elapsedMs < 60_000; elapsedMs += 1_000) speed.relax(best, 1_000);
  t.ok(speed.estimate.decodeMsPerToken < 3.2);
  for (let part = 0; part < 3; part += 1) speed.observeDecode(50, 750, 130_000);
  t.ok(speed.estimate.decodeMsPerToken > 7, 'a trial that is slow ends it');
});
