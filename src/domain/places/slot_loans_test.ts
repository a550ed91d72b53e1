import fc from 'fast-check';
import t from 'tap';
import { SlotLoans, SlotPacer } from './mod.js';

const RUNS = { seed: 45, numRuns: 300 };

const START_WINDOW_MS = 1_000;

const LONGEST_CALL_MS = 2_000;

const QUOTA = { slots: 1, pauseMs: 1_000 };

const STEP = fc.record({
  waitMs: fc.integer({ min: 10, max: 700 }),
  isOffered: fc.boolean(),
  isCalled: fc.boolean(),
  durationMs: fc.integer({ min: 1, max: LONGEST_CALL_MS }),
});

t.test('a host never holds more slots than it owns and its lenders leave to it', async () => {
  // Guards against a slot that falls back to its owner while a request still holds it.
  fc.assert(
    fc.property(fc.array(STEP, { maxLength: 40 }), (steps) => {
      const pacer = new SlotPacer();
      pacer.configure(QUOTA, 0);
      const fallsBackAtMs = new Map<number, number>();
      let endsAtMs: number[] = [];
      let nowMs = 0;
      return steps.every(({ waitMs, isOffered, isCalled, durationMs }, id) => {
        nowMs += waitMs;
        endsAtMs = endsAtMs.filter((atMs) => atMs > nowMs);
        if (isOffered) {
          pacer.loans.borrow({ id, startUntilMs: nowMs + START_WINDOW_MS });
          fallsBackAtMs.set(id, nowMs + START_WINDOW_MS + LONGEST_CALL_MS);
        }
        if (isCalled && pacer.maySend(nowMs, endsAtMs.length)) {
          pacer.recordSent(nowMs);
          endsAtMs.push(nowMs + durationMs);
        }
        pacer
          .takeUnusedLoans(nowMs, endsAtMs.length, isOffered)
          .forEach((loan) => fallsBackAtMs.delete(loan.id));
        const left = [...fallsBackAtMs.values()].filter((atMs) => atMs > nowMs).length;
        return endsAtMs.length <= QUOTA.slots + left;
      });
    }),
    RUNS,
  );
});

t.test('a lent slot is out of use until it is returned or falls back', async (t) => {
  const loans = new SlotLoans();
  loans.lend(1, 100);
  loans.lend(2, 200);
  t.equal(loans.countLent(99), 2);
  t.equal(loans.countLent(100), 1);
  t.equal(loans.takeBack(1), false, 'it has fallen back');
  t.equal(loans.takeBack(2), true);
  t.equal(loans.countLent(101), 0);
});

t.test('a slot is lent once it has been free for a while', async (t) => {
  // Guards against lending beside calls that would fill the slot at once.
  const pacer = new SlotPacer();
  pacer.configure(QUOTA, 0);
  pacer.recordEnd(1_000, 0);
  t.equal(pacer.countLendable(1_010, 0), 0);
  t.equal(pacer.countLendable(1_030, 0), 1);
  pacer.loans.lend(1, 5_000);
  t.equal(pacer.countLendable(1_200, 0), 0);
  t.notOk(pacer.maySend(1_200, 0));
});

t.test('a loan under which a request was refused is given back', async (t) => {
  // Guards against an owner that keeps sending to a server which has just refused a request.
  const pacer = new SlotPacer();
  pacer.configure({ ...QUOTA, slots: 0 }, 0);
  pacer.loans.borrow({ id: 7, startUntilMs: 5_000 });
  t.ok(pacer.maySend(3_000, 0));
  t.same(pacer.takeUnusedLoans(3_000, 1, true), []);
  pacer.recordDeclined(3_010);
  t.match(pacer.takeUnusedLoans(3_010, 0, true), [{ id: 7, wasDeclined: true }]);
});
