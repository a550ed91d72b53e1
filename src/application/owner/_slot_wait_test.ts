import t from 'tap';
import { ErrorKind, RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import { Tier } from '../../domain/scheduling/mod.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import type { MembershipView, Slot, SlotWish } from '../views/mod.js';
import { acquireSlot } from './_slot_wait.js';

const WISH: SlotWish = {
  requestId: 'request-1',
  serviceId: 'desk',
  accountId: 'franchise-a',
  weight: 1,
  tier: Tier.Urgent,
  deadlineAtMs: Number.POSITIVE_INFINITY,
  promptTokens: 1,
  expectedOutputTokens: 1,
  blockHashes: [],
  excluded: [],
  traceparent: undefined,
  signal: new AbortController().signal,
};

/** Never grants; ends when its wish's signal does. */
function waitForEver({ signal }: SlotWish): Promise<Slot> {
  return new Promise((_, reject) => {
    signal.addEventListener('abort', () => reject(new SchedulerError(ErrorKind.Cancelled)));
  });
}

/** Starts a wait in a process that is fresh or not, as told, and keeps its error. */
function startWait(clock: VirtualClock, isFresh: () => boolean): { error: unknown } {
  const told: { error: unknown } = { error: undefined };
  const membership = { isFresh } as MembershipView;
  const slots = { acquire: waitForEver };
  acquireSlot({ clock, membership, slots }, WISH).catch((error: unknown) => {
    told.error = error;
  });
  return told;
}

t.test('acquireSlot() refuses soon in a process that has lost touch', async (t) => {
  // Symptom: calls held for a minute, to their deadlines. Sequence: an entry host
  // was frozen, woke, and could reach nobody; its calls waited for a slot. Cause:
  // nothing is granted to a process without a fresh view, and nobody told it so.
  const clock = new VirtualClock();
  const told = startWait(clock, () => false);
  await clock.advance(1000);
  t.equal(told.error, undefined, 'a short while is an ordinary wake');
  await clock.advance(1500);
  t.match(told.error, { kind: ErrorKind.EntryHostCutOff, run: RunOutcome.NotRun });
});

t.test('acquireSlot() waits on while the view becomes fresh again and again', async (t) => {
  const clock = new VirtualClock();
  let checks = 0;
  const told = startWait(clock, () => {
    checks += 1;
    return checks % 4 === 0;
  });
  await clock.advance(60_000);
  t.equal(told.error, undefined);
});
