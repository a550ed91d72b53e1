import t from 'tap';
import { ErrorKind, RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import { Tier } from '../../domain/scheduling/mod.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import type { MembershipView, Slot, SlotRequest } from '../views/mod.js';
import { waitForSlot } from './_slot_wait.js';

const SLOT_REQUEST: SlotRequest = {
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

/** Never grants a slot, and rejects when the request's signal aborts. */
function neverGrant({ signal }: SlotRequest): Promise<Slot> {
  return new Promise((_, reject) => {
    signal.addEventListener('abort', () => reject(new SchedulerError(ErrorKind.Cancelled)));
  });
}

/** Starts a wait whose membership freshness is given by `isFresh`, and records its error. */
function startWait(clock: VirtualClock, isFresh: () => boolean): { error: unknown } {
  const outcome: { error: unknown } = { error: undefined };
  const membership = { isFresh } as MembershipView;
  const slots = { acquire: neverGrant };
  waitForSlot({ clock, membership, slots }, SLOT_REQUEST).catch((error: unknown) => {
    outcome.error = error;
  });
  return outcome;
}

t.test('waitForSlot() refuses within seconds in an isolated process', async (t) => {
  // Guards against calls that wait until their deadlines, here a minute, although no slot
  // can be granted: after a pause an entry host that reaches nobody has no fresh view, and
  // nothing is granted to it.
  const clock = new VirtualClock();
  const outcome = startWait(clock, () => false);
  await clock.advance(1000);
  t.equal(outcome.error, undefined, 'a short time without a fresh view is normal after a pause');
  await clock.advance(1500);
  t.match(outcome.error, { kind: ErrorKind.EntryHostCutOff, run: RunOutcome.NotRun });
});

t.test('waitForSlot() keeps waiting while the view repeatedly becomes fresh', async (t) => {
  const clock = new VirtualClock();
  let checks = 0;
  const outcome = startWait(clock, () => {
    checks += 1;
    return checks % 4 === 0;
  });
  await clock.advance(60_000);
  t.equal(outcome.error, undefined);
});
