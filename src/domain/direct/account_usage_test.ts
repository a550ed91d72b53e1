import t from 'tap';
import { AccountUsage, MAX_ACCOUNTS, USAGE_HALF_LIFE_MS } from './mod.js';

const A = { accountId: 'a', weight: 1 };
const B = { accountId: 'b', weight: 1 };

/** Slot time that one slot in steady use adds up to, in milliseconds. */
const STEADY_MS = USAGE_HALF_LIFE_MS / Math.LN2;

t.test('charge() counts a running request at once, and it decays', async (t) => {
  const usage = new AccountUsage();
  usage.charge(A, 400, 0);
  t.equal(usage.getOwnMs('a', 0), 400);
  t.equal(usage.getOwnMs('a', USAGE_HALF_LIFE_MS), 200);
  t.equal(usage.getOwnMs('b', 0), 0);
});

t.test('settle() replaces the predicted time by the actual one', async (t) => {
  for (const predictedMs of [0, 100, 5_000]) {
    const usage = new AccountUsage();
    usage.charge(A, predictedMs, 1_000);
    usage.settle('a', { predictedMs, heldMs: 600 }, 1_600);
    const expectedMs = STEADY_MS * (1 - 2 ** (-600 / USAGE_HALF_LIFE_MS));
    t.ok(Math.abs(usage.getOwnMs('a', 1_600) - expectedMs) < 1e-6, `predicted ${predictedMs}`);
  }
});

t.test(
  'a slot in steady use adds up to the same whatever the length of its requests',
  async (t) => {
    for (const heldMs of [50, 500, 2_000]) {
      const usage = new AccountUsage();
      let nowMs = 0;
      while (nowMs < 10 * USAGE_HALF_LIFE_MS) {
        usage.charge(A, heldMs, nowMs);
        nowMs += heldMs;
        usage.settle('a', { predictedMs: heldMs, heldMs }, nowMs);
      }
      t.ok(Math.abs(usage.getOwnMs('a', nowMs) / STEADY_MS - 1) < 0.01, `held for ${heldMs} ms`);
    }
  },
);

t.test('computeTag() adds the sums of peers and divides by the weight', async (t) => {
  const usage = new AccountUsage((accountId) => (accountId === 'a' ? 300 : 0));
  usage.charge(A, 100, 0);
  t.equal(usage.getTotalMs('a', 0), 400);
  t.equal(usage.computeTag({ accountId: 'a', weight: 4 }, 0), 100);
  t.ok(Number.isFinite(usage.computeTag({ accountId: 'a', weight: 0 }, 0)));
});

t.test('recordWaiting() gives an idle account a bounded lead only', async (t) => {
  const usage = new AccountUsage();
  usage.charge(A, 4_000, 0);
  usage.charge(A, 4_000, 0);
  usage.recordWaiting(B, Infinity, 0);
  t.equal(usage.computeTag(B, 0), 3_000);
  t.equal(usage.getOwnMs('b', 0), 0, 'the lift is no usage');
  t.same([...usage.listOwn(0)], [['a', 8_000]]);
});

t.test('recordWaiting() raises no account above one that waits', async (t) => {
  const usage = new AccountUsage();
  usage.charge(A, 4_000, 0);
  usage.charge(A, 4_000, 0);
  usage.recordWaiting(B, 500, 0);
  t.equal(usage.computeTag(B, 0), 500);
  usage.recordWaiting(B, 100, 0);
  t.equal(usage.computeTag(B, 0), 500, 'nor does it lower one');
});

t.test('listOwn() lists active accounts in whole milliseconds', async (t) => {
  const usage = new AccountUsage();
  usage.charge(A, 1_000.4, 0);
  usage.charge(B, 3, 0);
  t.same([...usage.listOwn(3 * USAGE_HALF_LIFE_MS)], [['a', 125]]);
});

t.test('accounts without end take bounded memory, and the busy ones stay', async (t) => {
  const usage = new AccountUsage();
  usage.charge(A, 5_000, 0);
  for (let index = 0; index < 3 * MAX_ACCOUNTS; index += 1) {
    usage.charge({ accountId: `x-${index}`, weight: 1 }, 10, 0);
  }
  t.equal(usage.size, MAX_ACCOUNTS);
  t.equal(usage.getOwnMs('a', 0), 5_000);
});
