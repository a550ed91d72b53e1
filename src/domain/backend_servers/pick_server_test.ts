import t from 'tap';
import { SeededRandom } from '../../../test/support/fakes.js';
import { pickServer, ServerLoad, ServerOutcome } from './mod.js';
import type { Candidate, PickOptions } from './mod.js';

const WORK = { promptTokens: 1_000, outputTokens: 100 };

const NO_CONTENTION = { holdMs: 1_000, ownWaitingCalls: 0, peerWaitingCalls: 0 };

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
    contention: NO_CONTENTION,
    ...changes,
  };
  return pickServer(candidates, options)?.id;
}

t.test('pickServer() leaves out full servers, counting the requests of peers', async (t) => {
  const a = buildCandidate('a');
  const b = buildCandidate('b');
  a.load.recordStart(WORK);
  a.load.setPeersInFlight(1);
  t.equal(pick([a, b], { nextFraction: () => 0.9 }), 'b');
  b.load.setPeersInFlight(2);
  t.equal(pick([a, b]), undefined);
});

t.test('pickServer() leaves out servers that the request was already sent to', async (t) => {
  t.equal(pick([buildCandidate('a')], { excluded: new Set(['a']) }), undefined);
});

t.test('pickServer() prefers the server with the shorter time to first byte', async (t) => {
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

t.test('pickServer() picks the engine that completes a long answer sooner', async (t) => {
  // Guards against a choice by time to first byte alone: engines that differ fivefold in speed
  // start a small prompt's answer equally fast, so long answers went to slow engines and missed
  // their deadline while fast engines had free slots.
  const slow = buildCandidate('slow');
  const fast = buildCandidate('fast');
  const sample = { prefillTokens: 10, outputTokens: 300, firstByteMs: 50 };
  for (let answer = 0; answer < 20; answer += 1) {
    slow.load.speed.observe({ ...sample, totalMs: 2_200 });
    fast.load.speed.observe({ ...sample, firstByteMs: 55, totalMs: 500 });
  }
  const work = { promptTokens: 10, outputTokens: 3_000 };
  t.equal(pick([slow, fast], { work, expectedTokens: 300 }), 'fast');
  // With almost no output, the time to first byte decides.
  t.equal(pick([slow, fast], { work, expectedTokens: 0 }), 'slow');
});

t.test('pickServer() leaves out engines that can not complete an answer in time', async (t) => {
  // Guards against cutting answers off at their deadline after they held a slot for 14 s. Under
  // overload, a long answer took the only free slot, which belonged to a slow engine, instead of
  // waiting for a faster one.
  const slow = buildCandidate('slow');
  const sample = { prefillTokens: 10, outputTokens: 300, firstByteMs: 50, totalMs: 2_200 };
  for (let answer = 0; answer < 20; answer += 1) slow.load.speed.observe(sample);
  const options = { work: { promptTokens: 10, outputTokens: 3_000 }, expectedTokens: 2_000 };
  t.equal(pick([slow], { ...options, timeLeftMs: 12_000 }), undefined);
  t.equal(pick([slow], { ...options, timeLeftMs: 20_000 }), 'slow');
});

t.test('pickServer() counts prompt tokens that are not yet processed', async (t) => {
  // Guards against counting only requests per server: a short request was sent to the server that
  // was still reading a prompt of 50,000 tokens while other servers were idle.
  const busy = buildCandidate('busy', 4);
  const other = buildCandidate('other', 4);
  busy.load.recordStart({ promptTokens: 50_000, outputTokens: 1 });
  other.load.recordStart({ promptTokens: 10, outputTokens: 1 });
  t.equal(pick([busy, other]), 'other');
  busy.load.recordFirstByte({ promptTokens: 50_000, outputTokens: 1 });
  t.equal(pick([busy, other], { nextFraction: () => 0 }), 'busy');
});

t.test('pickServer() pauses a failing server, longer after each failure', async (t) => {
  const a = buildCandidate('a');
  const b = buildCandidate('b');
  a.load.recordStart(WORK);
  a.load.recordEnd(ServerOutcome.Failed, 0);
  t.equal(pick([a, b], { nowMs: 600 }), 'b');
  t.notOk(a.load.mustAvoid(701));
  a.load.recordStart(WORK);
  a.load.recordEnd(ServerOutcome.Failed, 1_000);
  t.ok(a.load.mustAvoid(2_300));
  a.load.recordStart(WORK);
  a.load.recordEnd(ServerOutcome.Answered, 2_500);
  t.equal(a.load.consecutiveFailures, 0);
});

t.test('pickServer() picks a failing server if all servers fail', async (t) => {
  const a = buildCandidate('a');
  a.load.recordStart(WORK);
  a.load.recordEnd(ServerOutcome.Failed, 0);
  t.equal(pick([a], { nowMs: 1 }), 'a');
});

t.test('pickServer() avoids a fast server that returns errors', async (t) => {
  // Guards against a server that fails part of its requests immediately and therefore looks fast,
  // so that it attracts most requests.
  const failing = buildCandidate('bad', 8);
  const healthy = buildCandidate('good', 8);
  for (let request = 0; request < 6; request += 1) {
    failing.load.recordStart(WORK);
    failing.load.recordFirstByte(WORK);
    failing.load.recordEnd(ServerOutcome.ServerError, 0);
  }
  healthy.load.recordStart(WORK);
  healthy.load.recordFirstByte(WORK);
  t.equal(pick([failing, healthy]), 'good');
});

t.test(
  'pickServer() pauses an engine, but no plain service, that answers with errors',
  async (t) => {
    // Guards against counting an error response as an answer: an engine that reports itself
    // healthy but fails every request at once always has free slots and attracts the overflow, so
    // that one in five requests failed while most engines were healthy.
    const engine = buildCandidate('engine');
    const plain = { id: 'plain', load: new ServerLoad(2, false) };
    [engine, plain].forEach(({ load }) => {
      load.recordStart(WORK);
      load.recordEnd(ServerOutcome.ServerError, 0);
    });
    t.ok(engine.load.mustAvoid(100));
    t.notOk(plain.load.mustAvoid(100));
  },
);

t.test('ServerLoad reports failures to peers, but no timeouts', async (t) => {
  // Guards against reporting a busy server's timeouts to peers as failures. Under overload, peers
  // then avoid that server too, its load moves to the next one, and entry hosts are left with
  // ever fewer servers.
  const [busy, broken] = [buildCandidate('busy'), buildCandidate('broken')];
  busy.load.recordStart(WORK);
  busy.load.recordSilence(WORK, 0, 0);
  busy.load.recordEnd(ServerOutcome.Cancelled, 0);
  broken.load.recordStart(WORK);
  broken.load.recordEnd(ServerOutcome.Failed, 0);
  t.ok(busy.load.mustAvoid(100) && broken.load.mustAvoid(100));
  t.notOk(busy.load.hasFailedRecently(100, 50));
  t.ok(broken.load.hasFailedRecently(100, 50));
  t.notOk(broken.load.hasFailedRecently(100, -1), 'this host may have lost its own links');
});

t.test('pickServer() takes only its share while calls wait elsewhere too', async (t) => {
  const server = buildCandidate('a', 11);
  const random = new SeededRandom(5);
  const next = (): number => random.nextFraction();
  const contention = { holdMs: 1_000, ownWaitingCalls: 2, peerWaitingCalls: 20 };
  let taken = 0;
  while (pick([server], { nextFraction: next, contention }) !== undefined) {
    server.load.recordStart(WORK);
    taken += 1;
  }
  t.ok(taken <= 2, String(taken));
  t.equal(pick([server], { contention: { ...contention, ownWaitingCalls: 0 } }), 'a');
});

t.test('pickServer() recomputes the share more often if slots are held briefly', async (t) => {
  const server = buildCandidate('a', 6);
  server.load.setPeersInFlight(5);
  const random = new SeededRandom(3);
  const next = (): number => random.nextFraction();
  const contention = { holdMs: 40, ownWaitingCalls: 1, peerWaitingCalls: 61 };
  let taken = 0;
  for (let nowMs = 0; nowMs < 4_000; nowMs += 5) {
    if (pick([server], { nowMs, nextFraction: next, contention }) !== undefined) {
      taken += 1;
      server.load.share.recordTaken();
    }
  }
  // 100 intervals of 40 ms, each with one free slot for 62 waiting calls.
  t.ok(taken >= 1 && taken <= 6, String(taken));
});

t.test('pickServer() fills all free slots if no calls wait elsewhere', async (t) => {
  // Guards against refusing calls while slots are free: one entry host of sixty had calls waiting
  // but took only one sixtieth of the free slots, and no other host needed the rest.
  const server = buildCandidate('a', 11);
  server.load.setPeersInFlight(10);
  const contention = { ...NO_CONTENTION, ownWaitingCalls: 3 };
  t.equal(pick([server], { contention, nextFraction: () => 0.01 }), 'a');
});

t.test('pickServer() asks a failing open server only if every server is failing', async (t) => {
  // Guards against a list of open servers that hides the healthy ones, which are full.
  const failing = buildCandidate('failing');
  const full = buildCandidate('full');
  failing.load.recordEnd(ServerOutcome.Failed, 0);
  full.load.setPeersInFlight(2);
  const open = [failing];
  t.equal(pick([failing, full], { open }), undefined);
  t.equal(pick([failing, full], { open, excluded: new Set(['full']) }), 'failing');
  full.load.recordEnd(ServerOutcome.Failed, 0);
  t.equal(pick([failing, full], { open }), 'failing');
});

t.test('pickServer() sends a long prompt to an engine that meets the target', async (t) => {
  // Guards against long prompts on slow engines that are free: the first byte is late, and every
  // running stream of the engine pauses meanwhile. Short answers of the slow one end sooner here.
  const slow = buildCandidate('slow');
  const fast = buildCandidate('fast');
  const observe = (candidate: Candidate, msPerToken: number, decodeMs: number): void => {
    const { speed } = candidate.load;
    for (let answer = 0; answer < 20; answer += 1) {
      speed.observeFirstByte(10_000, 20 + 10_000 * msPerToken, answer);
      speed.observeFirstByte(100, 20 + 100 * msPerToken, answer);
      speed.observeDecode(100, 100 * decodeMs, answer);
    }
  };
  observe(slow, 0.02, 1);
  observe(fast, 0.004, 4);
  const work = { promptTokens: 50_000, outputTokens: 400 };
  const options = { work, expectedTokens: 400 };
  t.equal(pick([slow, fast], options), 'slow', 'without a target, the shortest hold');
  t.equal(pick([slow, fast], { ...options, targetLeftMs: 600 }), 'fast');
  t.equal(pick([slow, fast], { ...options, targetLeftMs: 50 }), 'slow', 'none meets it');
  t.equal(pick([slow, fast], { ...options, targetLeftMs: -10 }), 'slow', 'already late');
  const short = { work: { promptTokens: 100, outputTokens: 400 }, expectedTokens: 400 };
  t.equal(pick([slow, fast], { ...short, targetLeftMs: 600 }), 'slow', 'both meet it');
});
