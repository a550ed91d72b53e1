/**
 * Tests entry hosts that pass on turns at limited backend servers which no call uses.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import type { DirectHost } from '../../../test/support/direct_host.js';
import { LimitFleet, measureLimitExcess } from '../../../test/support/limit_fleet.js';

const ROUTE = { timeoutMs: 10_000, targetMs: 400, isRepeatable: true };

/** Time within which the end of a limit must be known to all, in milliseconds. */
const NOTICED_MS = 12_000;

/** Fleets linked all to all, and with relays. */
const SIZES = [
  { hosts: 3, seed: 1 },
  { hosts: 6, seed: 2 },
  { hosts: 13, seed: 3 },
  { hosts: 20, seed: 4 },
  { hosts: 66, seed: 5 },
];

interface LimitedFleet {
  readonly fleet: LimitFleet;
  /** Hosts that may not send to the limited server at their own pace. */
  readonly others: readonly DirectHost[];
}

/** Starts a fleet of which one of two servers has named a limit for some time. */
async function startLimited(t: Test, options: LimitedFleetOptions): Promise<LimitedFleet> {
  const { limit = 1.5, ...size } = options;
  const fleet = new LimitFleet(t, { ...size, servers: 2, slots: 50, route: ROUTE });
  await fleet.start();
  fleet.limits.set('s-1', limit);
  await fleet.run({ callsPerSecond: 20, durationMs: 3_000 });
  const others = fleet.hosts.filter(
    ({ servers }) => servers.notices.rateLimits.describe('s-1')?.isSender === false,
  );
  return { fleet, others };
}

interface LimitedFleetOptions {
  readonly hosts: number;
  readonly seed: number;
  readonly limit?: number;
  readonly runMs?: number;
}

function isLimitedAnywhere({ hosts }: LimitFleet): boolean {
  return hosts.some(({ servers }) => servers.notices.rateLimits.find('s-1') !== undefined);
}

SIZES.forEach((size) => {
  t.test(`${size.hosts} hosts notice the end of a limit by few short calls`, async (t) => {
    // Guards against a server that stays shut out where all calls reach one host that sends nothing.
    const { fleet, others } = await startLimited(t, { ...size, runMs: 5 });
    fleet.limits.delete('s-1');
    const hosts = others.slice(0, 1);
    await fleet.run({ callsPerSecond: 2, durationMs: NOTICED_MS, hosts });
    t.notOk(isLimitedAnywhere(fleet));
  });
});

SIZES.slice(1).forEach((size) => {
  t.test(`${size.hosts} hosts keep a limit with turns that no call waits for`, async (t) => {
    // Guards against turns that both the host which passed them on and their receiver use.
    const { fleet, others } = await startLimited(t, { ...size, limit: 3 });
    await fleet.run({ callsPerSecond: 20, durationMs: 8_000, hosts: others });
    t.ok(measureLimitExcess(fleet, 's-1', 3) <= 0);
    t.ok(isLimitedAnywhere(fleet));
  });
});
