import fc from 'fast-check';
import t from 'tap';
import { RetryBudgetShare } from './mod.js';

const BOUNDS = { ratio: 0.2, slack: 50, windowMs: 10_000 };
const RUNS = { seed: 22, numRuns: 200 };

t.test('an idle service gets its share of the slack', async (t) => {
  const share = new RetryBudgetShare(BOUNDS);
  let taken = 0;
  while (share.takeRetry(1_000, 5).isGranted) taken += 1;
  t.equal(taken, 6);
});

t.test('retries older than a window no longer count', async (t) => {
  const share = new RetryBudgetShare(BOUNDS);
  while (share.takeRetry(0, 5).isGranted);
  t.notOk(share.takeRetry(9_000, 5).isGranted);
  t.ok(share.takeRetry(12_000, 5).isGranted);
});

t.test('all entry hosts together keep the limit in every window, despite restarts', async () => {
  const event = fc.record({
    host: fc.nat(4),
    passMs: fc.nat(200),
    kind: fc.constantFrom('attempt', 'retry', 'retry', 'retry'),
    restart: fc.nat(400),
  });
  fc.assert(
    fc.property(fc.array(event, { minLength: 200, maxLength: 600 }), (events) => {
      const hosts = [0, 1, 2, 3, 4].map(() => new RetryBudgetShare(BOUNDS));
      const restarts = new Set<number>();
      const log: { readonly atMs: number; readonly isRetry: boolean }[] = [];
      let nowMs = 0;
      events.forEach(({ host, passMs, kind, restart }) => {
        nowMs += passMs;
        if (restart === 0 && !restarts.has(host)) {
          restarts.add(host);
          hosts[host] = new RetryBudgetShare(BOUNDS);
        }
        const share = hosts[host] as RetryBudgetShare;
        if (kind === 'attempt') {
          share.recordAttempt(nowMs);
          log.push({ atMs: nowMs, isRetry: false });
        } else if (share.takeRetry(nowMs, hosts.length).isGranted)
          log.push({ atMs: nowMs, isRetry: true });
      });
      return log.every(({ atMs }) => {
        const window = log.filter((other) => other.atMs >= atMs && other.atMs < atMs + 10_000);
        const before = log.filter((other) => other.atMs >= atMs - 10_000 && other.atMs < atMs);
        const retries = window.filter(({ isRetry }) => isRetry).length;
        const attempts = Math.max(
          window.filter(({ isRetry }) => !isRetry).length,
          before.filter(({ isRetry }) => !isRetry).length,
        );
        return retries <= BOUNDS.ratio * attempts + BOUNDS.slack;
      });
    }),
    RUNS,
  );
});
