import fc from 'fast-check';
import t from 'tap';
import { buildDemand, buildSpecs, createGroup } from '../../../test/support/group_fixture.js';
import { ErrorKind } from '../errors/mod.js';
import { OverrunMeter } from './_overrun_meter.js';
import { ServerVerdict, Tier } from './mod.js';

t.test('OverrunMeter finds the margin within which nineteen in twenty requests end', async (t) => {
  const width = fc.double({ min: 0.5, max: 1.5, noNaN: true });
  fc.assert(
    fc.property(
      fc.infiniteStream(fc.double({ min: 0, max: 1, noNaN: true })),
      width,
      (fractions, ratioWidth) => {
        const meter = new OverrunMeter();
        const ratios: number[] = [];
        for (const fraction of fractions) {
          ratios.push(1 + fraction * ratioWidth);
          meter.observe(1000, 1000 * (1 + fraction * ratioWidth), true);
          if (ratios.length >= 2000) break;
        }
        const within = ratios.slice(1000).filter((ratio) => ratio <= meter.margin).length / 1000;
        t.ok(within > 0.85, `${within} within ${meter.margin}`);
        t.ok(meter.margin >= 1.25 && meter.margin <= 3);
      },
    ),
    { seed: 42, numRuns: 20 },
  );
});

t.test(
  'OverrunMeter learns from requests that were cut off late, not from those cut off early',
  async (t) => {
    // Guards against requests that keep missing their deadlines. If the meter
    // learned from complete answers alone, it would see only short requests,
    // because those that overrun are cancelled at their deadlines.
    const meter = new OverrunMeter();
    for (let index = 0; index < 100; index += 1) meter.observe(1000, 500, false);
    t.equal(meter.margin, 2);
    for (let index = 0; index < 5; index += 1) meter.observe(1000, 2500, false);
    t.ok(meter.margin > 2.1);
  },
);

t.test(
  'GroupScheduler refuses a request that would miss its deadline on every server',
  async (t) => {
    // Guards against answers that are computed too late. The only engine becomes
    // slow while a request waits, so its work must be weighed again when its turn
    // comes, not just on arrival.
    const group = createGroup(buildSpecs(1, 2));
    const long = { expectedOutputTokens: 400, deadlineAtMs: 600_000 };
    group.submit(buildDemand('running', long), 0);
    group.run(0);
    group.submit(buildDemand('waits', { ...long, deadlineAtMs: 50_000 }), 0);
    group.submit(buildDemand('night', { ...long, tier: Tier.Batch }), 0);
    t.equal(group.waitingCount, 2);
    const slow = { verdict: ServerVerdict.Healthy, firstByteMs: 100, totalMs: 30_000 };
    group.release(1, { ...slow, outputTokens: 30 }, 30_000);
    const decisions = group.run(30_000);
    t.same(
      decisions.map(({ demand, ...rest }) => [
        demand.key,
        'reason' in rest ? rest.reason : 'grant',
      ]),
      [
        ['night', ErrorKind.TierClosed],
        ['waits', ErrorKind.DeadlineUnreachable],
      ],
      'the lower tier is closed first',
    );
    t.ok(decisions.every((decision) => 'retryAfterMs' in decision && decision.retryAfterMs >= 250));
  },
);
