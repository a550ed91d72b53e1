import t from 'tap';
import { pickServer, ServerLoad, ServerOutcome } from './mod.js';
import type { Candidate, PickOptions } from './mod.js';

const WORK = { promptTokens: 1_000, outputTokens: 100 };

function buildCandidate(id: string, slots = 2): Candidate {
  return { id, load: new ServerLoad(slots, true) };
}

function pick(
  candidates: readonly Candidate[],
  changes: Partial<PickOptions> = {},
): string | undefined {
  const options = { work: WORK, nowMs: 0, excluded: new Set<string>(), fraction: 0, ...changes };
  return pickServer(candidates, options)?.id;
}

t.test('pickServer() leaves full servers out, with what peers have there', async (t) => {
  const a = buildCandidate('a');
  const b = buildCandidate('b');
  a.load.begin(WORK);
  a.load.setPeersInFlight(1);
  t.equal(pick([a, b], { fraction: 0.9 }), 'b');
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
  t.equal(pick([slow, fast], { fraction: 0 }), 'fast');
  t.equal(pick([slow, fast], { fraction: 0.99 }), 'fast');
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
  t.equal(pick([busy, other], { fraction: 0 }), 'busy');
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
