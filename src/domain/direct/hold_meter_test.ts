import t from 'tap';
import { HoldMeter } from './mod.js';

const STEP_MS = 20;

const EARLIER_MS = 200;

t.test('HoldMeter follows the calls that end while others wait', async (t) => {
  const meter = new HoldMeter();
  for (let nowMs = 0; nowMs <= 8_000; nowMs += STEP_MS) {
    meter.sample(8, nowMs);
    if (nowMs % 100 === 0) meter.recordEnd(nowMs);
  }
  t.ok(Math.abs(meter.computeAverageMs(EARLIER_MS) - 800) < 60);
});

t.test('HoldMeter rises while no call ends', async (t) => {
  // Guards against calls that wait for slots whose holders are stuck: no ended call shows that.
  const meter = new HoldMeter();
  for (let nowMs = 0; nowMs <= 1_000; nowMs += STEP_MS) meter.sample(8, nowMs);
  t.ok(meter.computeAverageMs(EARLIER_MS) > 5_000);
});

t.test('HoldMeter keeps the earlier average where it measured nothing', async (t) => {
  // Guards against calls that end while nobody samples, which would count without their time.
  const meter = new HoldMeter();
  t.equal(meter.computeAverageMs(EARLIER_MS), EARLIER_MS);
  meter.sample(8, 0);
  for (let nowMs = 1_000; nowMs < 2_000; nowMs += STEP_MS) meter.recordEnd(nowMs);
  meter.sample(8, 60_000);
  t.equal(meter.computeAverageMs(EARLIER_MS), EARLIER_MS);
});
