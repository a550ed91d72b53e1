import t from 'tap';
import { ServerPause } from './server_pause.js';

t.test('ServerPause lets nothing through until its latest end', async (t) => {
  const pause = new ServerPause();
  t.ok(pause.maySend(0));
  pause.begin(1_000, 200);
  pause.begin(400, 200);
  t.notOk(pause.maySend(999));
  t.equal(pause.computeLeftMs(250), 750);
  t.ok(pause.maySend(1_000));
});

t.test('ServerPause lets requests through one by one until the server answers them', async (t) => {
  const pause = new ServerPause();
  pause.begin(1_000, 200);
  pause.recordAnswered(900);
  pause.recordSent(1_000);
  t.notOk(pause.maySend(1_150), 'the answer came within the pause');
  pause.recordAnswered(1_150);
  t.ok(pause.maySend(1_150));
  for (let atMs = 1_200; atMs < 3_000; atMs += 10) pause.recordAnswered(atMs);
  pause.recordSent(3_000);
  t.ok(pause.maySend(3_000));
  t.notOk(pause.isActive(3_000));
});
