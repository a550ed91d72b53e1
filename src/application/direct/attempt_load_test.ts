import t from 'tap';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { ServerLoad, ServerOutcome } from '../../domain/backend_servers/mod.js';
import { AttemptLoad } from './_attempt_load.js';

const WORK = { promptTokens: 1_000, outputTokens: 400 };

const TOKENS_PER_EVENT = 9;

function createAttempt(load: ServerLoad, clock: VirtualClock): AttemptLoad {
  return new AttemptLoad({ load, work: WORK, clock, tokensPerEvent: TOKENS_PER_EVENT });
}

t.test('AttemptLoad learns the decoding speed without the first event', async (t) => {
  // Guards against speeds of short answers that are too high by the first event of two or three,
  // whose tokens are decoded before the first byte.
  const clock = new VirtualClock();
  const load = new ServerLoad(8, true);
  const attempt = createAttempt(load, clock);
  attempt.start();
  await clock.advance(50);
  attempt.recordFirstByte();
  attempt.recordEvents(1, clock.nowMs());
  await clock.advance(90);
  attempt.recordEvents(2, clock.nowMs());
  attempt.end(ServerOutcome.Answered);
  attempt.learnSpeed();
  t.equal(Math.round(load.speed.decodeTokensPerSecond), 100);
});

t.test('AttemptLoad learns while the stream runs', async (t) => {
  // Guards against a change of speed that is known only when streams of ten seconds end.
  const clock = new VirtualClock();
  const load = new ServerLoad(8, true);
  const attempt = createAttempt(load, clock);
  attempt.start();
  await clock.advance(50);
  attempt.recordFirstByte();
  for (let event = 1; event <= 5; event += 1) {
    attempt.recordEvents(event, clock.nowMs());
    await clock.advance(90);
  }
  t.equal(Math.round(load.speed.decodeTokensPerSecond), 100);
});

t.test('AttemptLoad learns the first byte as it is predicted', async (t) => {
  // Guards against predictions that count the load twice: the raw time was learnt, and then
  // multiplied by the load again, so that predictions were up to five times too long.
  const clock = new VirtualClock();
  const load = new ServerLoad(8, true);
  load.setPeersInFlight(7);
  for (let answer = 0; answer < 10; answer += 1) {
    const waiting = createAttempt(load, clock);
    waiting.start();
    const attempt = createAttempt(load, clock);
    attempt.start();
    await clock.advance(100);
    attempt.recordFirstByte();
    attempt.recordEvents(1, clock.nowMs());
    if (answer > 0) t.ok(Math.abs(attempt.predictedFirstByteMs - 100) < 1);
    attempt.end(ServerOutcome.Answered);
    waiting.end(ServerOutcome.Cancelled);
  }
});
