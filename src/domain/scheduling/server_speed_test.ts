import t from 'tap';
import { ServerSpeed } from './server_speed.js';

const NOMINAL = { prefillTokensPerSecond: 100_000, decodeTokensPerSecond: 250 };

t.test('ServerSpeed takes the first samples as a plain mean', async (t) => {
  // Guards against a day of wrong order: a host that sees a server every 12 s still had a tenth of
  // the assumed speed in its average after a quarter of an hour.
  const speed = new ServerSpeed(NOMINAL, false, 0);
  speed.observeDecode(100, 1_000);
  t.equal(Math.round(speed.decodeTokensPerSecond), 100);
  speed.observeDecode(100, 3_000);
  t.equal(Math.round(speed.decodeTokensPerSecond), 50, 'mean of 10 and 30 ms a token');
  speed.observeFirstByte(1_000, 70);
  t.equal(Math.round(speed.predictFirstByteMs(1_000)), 70);
  speed.observeFirstByte(1_000, 90);
  t.equal(Math.round(speed.predictFirstByteMs(1_000)), 80);
  const plain = new ServerSpeed(NOMINAL, true, 0);
  plain.observeFirstByte(0, 8);
  plain.observeFirstByte(0, 12);
  t.equal(Math.round(plain.predictFirstByteMs(0)), 10);
});

t.test('ServerSpeed keeps the steady weight after the first samples', async (t) => {
  const speed = new ServerSpeed(NOMINAL, false, 0);
  for (let sample = 0; sample < 50; sample += 1) speed.observeDecode(100, 1_000);
  speed.observeDecode(100, 2_000);
  t.equal(Math.round(1_000 / speed.decodeTokensPerSecond / 0.01), 1_150);
});

t.test('ServerSpeed keeps a nominal speed that is not assumed', async (t) => {
  const speed = new ServerSpeed(NOMINAL, false);
  t.notOk(speed.hasSamples);
  speed.observeDecode(100, 1_000);
  t.equal(Math.round(1_000 / speed.decodeTokensPerSecond / 0.01), 490, '0.85 of 4 and 0.15 of 10');
  t.ok(speed.hasSamples);
});
