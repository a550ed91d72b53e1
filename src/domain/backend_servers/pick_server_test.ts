import t from 'tap';
import { SeededRandom } from '../../../test/support/fakes.js';
import { pickServer, ServerLoad, ServerOutcome } from './mod.js';
import type { Candidate, PickOptions } from './mod.js';

const WORK = { promptTokens: 1_000, outputTokens: 100 };

const ALONE = { holdMs: 1_000, ownWaiting: 0, waitingElsewhere: 0 };

function buildCandidate(id: string, slots = 2): Candidate {
  return { id, load: new ServerLoad(slots, true) };
}

function pick(
  candidates: readonly Candidate[],
  changes: Partial<PickOptions> = {},
): string | undefined {
  const options = {
    work: WORK,
    expectedTokens: WORK.outputTokens,
    nowMs: 0,
    timeLeftMs: 60_000,
    excluded: new Set<string>(),
    nextFraction: () => 0,
    rivalry: ALONE,
    ...changes,
  };
  return pickServer(candidates, options)?.id;
}

t.test('pickServer() leaves full servers out, with what peers have there', async (t) => {
  const a = buildCandidate('a');
  const b = buildCandidate('b');
  a.load.begin(WORK);
  a.load.setPeersInFlight(1);
  t.equal(pick([a, b], { nextFraction: () => 0.9 }), 'b');
  b.load.setPeersInFlight(2);
  t.equal(pick([a, b]), undefined);
});

t.test('pickServer() leaves out servers that the request was sent to', async (t) => {
  t.equal(pick([buildCandidate('a')], { excluded: new Set(['a']) }), undefined);
});

t.test('pickServer() prefers the one whose first byte comes sooner', async (t) => {
  const slow = buildCandidate('slow');
  const fast = buildCandidate('fast');
  for (let sample = 0; sample < 20; sample += 1) {
    slow.load.speed.observe({
      prefillTokens: 1_000,
      outputTokens: 0,
      firstByteMs: 200,
      totalMs: 300,
    });
    fast.load.speed.observe({
      prefillTokens: 1_000,
      outputTokens: 0,
      firstByteMs: 20,
      totalMs: 100,
    });
  }
  t.equal(pick([slow, fast], { nextFraction: () => 0 }), 'fast');
  t.equal(pick([slow, fast], { nextFraction: () => 0.99 }), 'fast');
});

t.test('pickServer() gives a long answer to the engine that generates it sooner', async (t) => {
  // Symptom: long answers run into their deadline while quick engines have free slots.
  // Sequence: engines that differ fivefold in speed begin their answers alike, as small
  // prompts take the same fixed time everywhere.
  // Cause: the choice went by the first byte alone.
  const slow = buildCandidate('slow');
  const fast = buildCandidate('fast');
  const sample = { prefillTokens: 10, outputTokens: 300, firstByteMs: 50 };
  for (let answer = 0; answer < 20; answer += 1) {
    slow.load.speed.observe({ ...sample, totalMs: 2_200 });
    fast.load.speed.observe({ ...sample, firstByteMs: 55, totalMs: 500 });
  }
  const work = { promptTokens: 10, outputTokens: 3_000 };
  t.equal(pick([slow, fast], { work, expectedTokens: 300 }), 'fast');
  // Where next to nothing is generated, the first byte decides.
  t.equal(pick([slow, fast], { work, expectedTokens: 0 }), 'slow');
});

t.test('pickServer() leaves out engines that can not end an answer in time', async (t) => {
  // Symptom: answers are cut at their deadline after 14 s of a slot.
  // Sequence: under overload a slow engine has the only free slot; a long answer takes it.
  // Cause: any free slot was better than waiting for a quicker engine.
  const slow = buildCandidate('slow');
  const sample = { prefillTokens: 10, outputTokens: 300, firstByteMs: 50, totalMs: 2_200 };
  for (let answer = 0; answer < 20; answer += 1) slow.load.speed.observe(sample);
  const options = { work: { promptTokens: 10, outputTokens: 3_000 }, expectedTokens: 2_000 };
  t.equal(pick([slow], { ...options, timeLeftMs: 12_000 }), undefined);
  t.equal(pick([slow], { ...options, timeLeftMs: 20_000 }), 'slow');
});

t.test('pickServer() counts prompts that are still to be read', async (t) => {
  // Symptom: short requests wait behind long prompts while other servers read nothing.
  // Sequence: a prompt of 50,000 tokens is sent to a server; so is the next request.
  // Cause: only the number of requests there was counted.
  const busy = buildCandidate('busy', 4);
  const other = buildCandidate('other', 4);
  busy.load.begin({ promptTokens: 50_000, outputTokens: 1 });
  other.load.begin({ promptTokens: 10, outputTokens: 1 });
  t.equal(pick([busy, other]), 'other');
  busy.load.noteFirstByte({ promptTokens: 50_000, outputTokens: 1 });
  t.equal(pick([busy, other], { nextFraction: () => 0 }), 'busy');
});

t.test('pickServer() leaves a failing server alone, longer each time', async (t) => {
  const a = buildCandidate('a');
  const b = buildCandidate('b');
  a.load.begin(WORK);
  a.load.end(ServerOutcome.Failed, 0);
  t.equal(pick([a, b], { nowMs: 600 }), 'b');
  t.notOk(a.load.isPaused(701));
  a.load.begin(WORK);
  a.load.end(ServerOutcome.Failed, 1_000);
  t.ok(a.load.isPaused(2_300));
  a.load.begin(WORK);
  a.load.end(ServerOutcome.Answered, 2_500);
  t.equal(a.load.failuresInRow, 0);
});

t.test('pickServer() asks a failing server when all fail', async (t) => {
  const a = buildCandidate('a');
  a.load.begin(WORK);
  a.load.end(ServerOutcome.Failed, 0);
  t.equal(pick([a], { nowMs: 1 }), 'a');
});

t.test('pickServer() avoids a server that errs although it is quick', async (t) => {
  // Symptom: most requests go to the one server that fails them at once.
  // Sequence: a server answers part of its requests with errors, in no time.
  // Cause: quick errors looked like a quick server.
  const grey = buildCandidate('grey', 8);
  const sound = buildCandidate('sound', 8);
  for (let request = 0; request < 6; request += 1) {
    grey.load.begin(WORK);
    grey.load.noteFirstByte(WORK);
    grey.load.end(ServerOutcome.Erred, 0);
  }
  sound.load.begin(WORK);
  sound.load.noteFirstByte(WORK);
  t.equal(pick([grey, sound]), 'sound');
});

t.test(
  'pickServer() leaves an engine alone that answers with errors, and no plain service',
  async (t) => {
    // Symptom: one in five requests fails while most engines are sound.
    // Sequence: an engine says that it is well and fails each request at once; it is free
    // all the time and takes what the others have no slot for.
    // Cause: an answer with an error counted as an answer.
    const engine = buildCandidate('engine');
    const plain = { id: 'plain', load: new ServerLoad(2, false) };
    [engine, plain].forEach(({ load }) => {
      load.begin(WORK);
      load.end(ServerOutcome.Erred, 0);
    });
    t.ok(engine.load.isPaused(100));
    t.notOk(plain.load.isPaused(100));
  },
);

t.test('ServerLoad tells others of failures and not of silence', async (t) => {
  // Symptom: under overload entry hosts have ever fewer backend servers to choose from.
  // Sequence: requests wait long at a busy server; several entry hosts give up on it and
  // tell the others, who leave it alone too; the next server gets its work, and is busy.
  // Cause: silence of a busy server was told like a failure.
  const [busy, broken] = [buildCandidate('busy'), buildCandidate('broken')];
  busy.load.begin(WORK);
  busy.load.end(ServerOutcome.Silent, 0);
  broken.load.begin(WORK);
  broken.load.end(ServerOutcome.Failed, 0);
  t.ok(busy.load.isPaused(100) && broken.load.isPaused(100));
  t.notOk(busy.load.hasFailed(100));
  t.ok(broken.load.hasFailed(100));
});

t.test('pickServer() takes its own part where others wait too', async (t) => {
  const server = buildCandidate('a', 11);
  const random = new SeededRandom(5);
  const next = (): number => random.nextFraction();
  const rivalry = { holdMs: 1_000, ownWaiting: 2, waitingElsewhere: 20 };
  let taken = 0;
  while (pick([server], { nextFraction: next, rivalry }) !== undefined) {
    server.load.begin(WORK);
    taken += 1;
  }
  t.ok(taken <= 2, String(taken));
  t.equal(pick([server], { rivalry: { ...rivalry, ownWaiting: 0 } }), 'a');
});

t.test('pickServer() draws more often where slots are held shortly', async (t) => {
  const server = buildCandidate('a', 6);
  server.load.setPeersInFlight(5);
  const random = new SeededRandom(3);
  const next = (): number => random.nextFraction();
  const rivalry = { holdMs: 40, ownWaiting: 1, waitingElsewhere: 61 };
  let taken = 0;
  for (let nowMs = 0; nowMs < 4_000; nowMs += 5) {
    if (pick([server], { nowMs, nextFraction: next, rivalry }) !== undefined) {
      taken += 1;
      server.load.share.noteTaken();
    }
  }
  // A hundred rounds, each with one slot for 62.
  t.ok(taken >= 1 && taken <= 6, String(taken));
});

t.test('pickServer() leaves no slot free that nobody else waits for', async (t) => {
  // Symptom: calls are refused while slots are free.
  // Sequence: one entry host of sixty has calls waiting; a few slots are free.
  // Cause: it took a sixtieth of them, and the others had no use for theirs.
  const server = buildCandidate('a', 11);
  server.load.setPeersInFlight(10);
  const rivalry = { ...ALONE, ownWaiting: 3 };
  t.equal(pick([server], { rivalry, nextFraction: () => 0.01 }), 'a');
});
