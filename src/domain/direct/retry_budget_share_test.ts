import fc from 'fast-check';
import t from 'tap';
import {
  MAX_DELAY_MS,
  MAX_LAG_MS,
  measureFormulaExcess,
  measureRetryExcess,
  RetryEventKind,
  RetryFleet,
} from '../../../test/support/retry_fleet.js';
import { RetryBudgetShare } from './mod.js';

const BOUNDS = { ratio: 0.2, slack: 50, windowMs: 10_000 };
/** Kinds of events, each as often as it is listed. */
const EVENT_KINDS = [
  RetryEventKind.Attempt,
  RetryEventKind.Attempt,
  RetryEventKind.Attempt,
  RetryEventKind.Retries,
  RetryEventKind.Retries,
  RetryEventKind.Restart,
];

const EVENTS = fc.array(
  fc.record({
    kind: fc.constantFrom(...EVENT_KINDS),
    host: fc.nat(8),
    passMs: fc.nat(100),
    count: fc.integer({ min: 1, max: 20 }),
    delayMs: fc.nat(MAX_DELAY_MS),
    lagMs: fc.nat(MAX_LAG_MS),
  }),
  { minLength: 100, maxLength: 600 },
);

const FLEET_SIZE = fc.record({
  hosts: fc.integer({ min: 1, max: 9 }),
  sides: fc.constantFrom(1, 2),
});

const RUNS = { seed: 22, numRuns: 200 };

t.test('an idle service gets its share of the slack, but not in the first window', async (t) => {
  const share = new RetryBudgetShare(BOUNDS, 0);
  t.notOk(share.takeRetry(9_900, 5).isGranted);
  let taken = 0;
  while (share.takeRetry(10_000, 5).isGranted) taken += 1;
  t.equal(taken, 4);
});

t.test('a granted retry counts until it is given back', async (t) => {
  const share = new RetryBudgetShare(BOUNDS, -10_000);
  while (share.takeRetry(0, 5).isGranted);
  t.notOk(share.takeRetry(60_000, 5).isGranted);
  share.releaseRetry();
  t.ok(share.takeRetry(60_000, 5).isGranted);
});

t.test('a host that has forgotten its peers keeps its share of the slack', async (t) => {
  // Guards against a share that grows while a host is cut off from its peers.
  const share = new RetryBudgetShare(BOUNDS, 0);
  share.takeRetry(5_000, 5);
  let taken = 0;
  while (share.takeRetry(30_000, 1).isGranted) taken += 1;
  t.equal(taken, 4);
});

t.test('retries older than a window no longer count', async (t) => {
  const share = new RetryBudgetShare(BOUNDS, -10_000);
  while (share.takeRetry(0, 5).isGranted) share.recordRetrySent(0);
  t.notOk(share.takeRetry(9_000, 5).isGranted);
  t.ok(share.takeRetry(12_000, 5).isGranted);
});

t.test('hosts that restart at will and know few others keep the budget together', async () => {
  // Guards against hosts that each take the slack of all: after a restart, or behind a partition.
  fc.assert(
    fc.property(FLEET_SIZE, EVENTS, (size, events) => {
      const fleet = new RetryFleet({ bounds: BOUNDS, ...size });
      fleet.play(events);
      return measureRetryExcess(fleet, BOUNDS) <= 0;
    }),
    RUNS,
  );
});

t.test('what all hosts send together stays within its formula', async () => {
  fc.assert(
    fc.property(FLEET_SIZE, EVENTS, (size, events) => {
      const fleet = new RetryFleet({ bounds: BOUNDS, ...size });
      fleet.play(events);
      return measureFormulaExcess(fleet, BOUNDS, size.sides) <= 0;
    }),
    RUNS,
  );
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
      const hosts = [0, 1, 2, 3, 4].map(() => new RetryBudgetShare(BOUNDS, -10_000));
      const restarts = new Set<number>();
      const log: { readonly atMs: number; readonly isRetry: boolean }[] = [];
      let nowMs = 0;
      events.forEach(({ host, passMs, kind, restart }) => {
        nowMs += passMs;
        if (restart === 0 && !restarts.has(host)) {
          restarts.add(host);
          hosts[host] = new RetryBudgetShare(BOUNDS, nowMs);
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
