import fc from 'fast-check';
import t from 'tap';
import { FakeLog } from '../../../test/support/fakes.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { runDirectStop } from './mod.js';

const LIMIT_MS = 8_000;

/** Simulates a shutdown with calls in progress that end, and a last answer that is sent, at given times. */
async function simulateStop(
  endsAtMs: readonly number[],
  sentAtMs = 0,
  peersEndAtMs = 0,
  announceStop?: () => void,
): Promise<{
  readonly steps: string[];
  /** What happened to the requests of peers. */
  readonly peerSteps: string[];
  readonly tookMs: number;
  /** When calls were said to end. */
  readonly callsEndAtMs: number;
}> {
  const clock = new VirtualClock();
  const startMs = clock.nowMs();
  const steps: string[] = [];
  const peerSteps: string[] = [];
  let tookMs = Infinity;
  const recordStep = (step: string) => (): void => {
    steps.push(`${step} ${clock.nowMs() - startMs}`);
  };
  const requestsOfPeers = {
    get exchangeCount() {
      return clock.nowMs() - startMs < peersEndAtMs ? 1 : 0;
    },
    refuseNewRequests: () => peerSteps.push(`refuse ${clock.nowMs() - startMs}`),
    endAll: () => peerSteps.push(`end ${clock.nowMs() - startMs}`),
  };
  let callsEndAtMs = Infinity;
  const stopped = runDirectStop({
    requestsOfPeers,
    clock,
    log: new FakeLog(),
    limitMs: LIMIT_MS,
    announceStop: announceStop ?? recordStep('announce'),
    setCallsEnd: (endAtMs) => {
      callsEndAtMs = endAtMs - startMs;
    },
    refuseNewCalls: recordStep('refuse'),
    stopAccepting: recordStep('close'),
    stopAllCalls: recordStep('end'),
    countUnsentAnswers: () => (clock.nowMs() - startMs < sentAtMs ? 1 : 0),
    countCalls: () => endsAtMs.filter((endMs) => clock.nowMs() - startMs < endMs).length,
  }).then(() => {
    tookMs = clock.nowMs() - startMs;
  });
  await clock.advance(LIMIT_MS);
  await stopped;
  return { steps, peerSteps, tookMs, callsEndAtMs };
}

t.test('runDirectStop() announces at once, and accepts calls for less than 3 s', async (t) => {
  // Guards against calls that are sent 3 s after the signal, which was handled late, and cut off.
  const { steps } = await simulateStop([]);
  t.same(steps.slice(0, 2), ['announce 0', 'refuse 2800']);
});

t.test('runDirectStop() waits for calls in progress, up to its limit', async (t) => {
  const { steps, tookMs } = await simulateStop([6_000]);
  t.match(steps.at(-1), /close 60\d\d/);
  t.ok(tookMs < 6_200);
  const long = await simulateStop([60_000]);
  t.match(long.steps.at(-2), /end 69\d\d/);
  t.ok(long.tookMs < LIMIT_MS);
});

t.test('runDirectStop() goes on after a fault in one of its steps', async (t) => {
  // Guards against a process that ends at once, with all its calls, by a fault as it announces that.
  const { steps } = await simulateStop([5_000], 0, 0, () => {
    throw new Error('Cannot announce the stop: test');
  });
  t.match(steps, [/^refuse/, /^end 50\d\d/, /^close/]);
});

t.test('runDirectStop() tells at once when it ends calls', async (t) => {
  // Guards against calls that are taken, or start, too late to be answered.
  const { steps, callsEndAtMs } = await simulateStop([60_000]);
  const endedAtMs = Number(/end (\d+)/.exec(steps.join())?.[1]);
  t.ok(endedAtMs >= callsEndAtMs && endedAtMs < callsEndAtMs + 60);
});

t.test('runDirectStop() waits until the last answers are sent, up to its limit', async (t) => {
  // Guards against answers that are whole here, and broken off as their callers read slowly.
  const inTime = await simulateStop([], 6_000);
  t.match(inTime.steps.at(-1), /close 60\d\d/);
  const late = await simulateStop([60_000], 7_200);
  t.match(late.steps.at(-2), /end 69\d\d/);
  t.ok(late.tookMs >= 7_200 && late.tookMs < 7_300);
  const never = await simulateStop([], 60_000);
  t.ok(never.tookMs < LIMIT_MS);
});

t.test(
  'runDirectStop() refuses requests of peers at once, and waits for those it has',
  async (t) => {
    // Guards against requests of peers that are taken, and lost, by a process that ends.
    const { peerSteps } = await simulateStop([], 0, 6_000);
    t.match(peerSteps, [/^refuse 0$/, /^end 60\d\d/]);
    const { peerSteps: cut } = await simulateStop([], 0, 60_000);
    t.match(cut.at(-1), /end 69\d\d/);
  },
);

t.test(
  'runDirectStop() cuts off no call that ends well before the limit, and is always in time',
  async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.integer({ min: 0, max: 12_000 }), { maxLength: 8 }),
        async (ends) => {
          const { steps, tookMs } = await simulateStop(ends);
          const endedAtMs = Number(/end (\d+)/.exec(steps.join())?.[1]);
          const isCut = ends.some((endMs) => endMs <= (LIMIT_MS * 5) / 6 && endMs > endedAtMs);
          return !isCut && tookMs < LIMIT_MS;
        },
      ),
      { seed: 25, numRuns: 40 },
    );
  },
);
