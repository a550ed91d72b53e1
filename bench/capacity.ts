/**
 * Benches: slopes for the page on capacity.
 *
 * @module
 */
import { parseLoadPlan, runLoad } from '../src/load/mod.js';
import { buildApiKey, hashApiKey, MOULINET, startFleet } from '../test/fleet/mod.js';
import type { ContractDocument, Fleet, FleetShape } from '../test/fleet/mod.js';
import { readList, readNumber } from './bench.js';
import type { BenchOptions, BenchResult } from './bench.js';
import { buildCapacityResult, readCapacityPoint } from './_capacity_point.js';
import type { CapacityPoint } from './_capacity_point.js';
import { waitMs } from './_entry_host_probe.js';
import { publishManyBackends } from './_many_backends.js';
import { buildWideShape } from './_wide_shape.js';

const SETTLE_MS = 4000;
const MS_PER_SECOND = 1000;
const QUIET_FLAGS = ['--log-level', 'warn'];

/**
 * Control at rest against the number of entry hosts.
 *
 * @param options - `--sizes`, `--seconds`
 * @returns slopes a peer
 */
export async function runCapacityPeers(options: BenchOptions): Promise<BenchResult> {
  const sizes = readList(options, 'sizes', ['2', '4', '8', '16', '24']).map(Number);
  const seconds = readNumber(options, 'seconds', 15);
  const points: CapacityPoint[] = [];
  for (const size of sizes) {
    options.note(`${size} entry hosts`);
    const fleet = await startFleet({
      entryHostCount: size,
      engineCount: 1,
      entryHostFlags: QUIET_FLAGS,
    });
    points.push(await readAtRest(fleet, size - 1, seconds));
  }
  return buildCapacityResult('peers', points, { sizes, seconds });
}

/**
 * Control and work against the number of backend servers. Many entries of the
 * fleet document share a few engines' addresses.
 *
 * @param options - `--sizes`, `--seconds`
 * @returns slopes a backend server
 */
export async function runCapacityBackends(options: BenchOptions): Promise<BenchResult> {
  const sizes = readList(options, 'sizes', ['12', '75', '150', '300', '600']).map(Number);
  const seconds = readNumber(options, 'seconds', 15);
  const points: CapacityPoint[] = [];
  for (const size of sizes) {
    options.note(`${size} backend servers`);
    const fleet = await startFleet({
      entryHostCount: 4,
      engineCount: 12,
      entryHostFlags: QUIET_FLAGS,
    });
    await publishManyBackends(fleet, size);
    points.push(await readAtRest(fleet, size, seconds));
  }
  return buildCapacityResult('backend servers', points, { sizes, seconds, entryHostCount: 4 });
}

/**
 * Control and memory against the number of client accounts, each of which
 * sends now and then.
 *
 * @param options - `--sizes`, `--seconds`, `--rate`
 * @returns slopes an account
 */
export async function runCapacityAccounts(options: BenchOptions): Promise<BenchResult> {
  const sizes = readList(options, 'sizes', ['5', '170', '340', '680']).map(Number);
  const seconds = readNumber(options, 'seconds', 15);
  const rate = readNumber(options, 'rate', 60);
  const points: CapacityPoint[] = [];
  for (const size of sizes) {
    options.note(`${size} accounts`);
    const shape = buildManyAccounts(size);
    const fleet = await startFleet({
      shape,
      entryHostCount: 4,
      engineCount: 1,
      entryHostFlags: QUIET_FLAGS,
    });
    points.push(await readUnderLoad(fleet, { x: size, rate, seconds }));
  }
  return buildCapacityResult('accounts', points, { sizes, seconds, rate, entryHostCount: 4 });
}

/**
 * Messages and processor time against requests a second.
 *
 * @param options - `--rates`, `--seconds`
 * @returns slopes a request a second and entry host
 */
export async function runCapacityRequests(options: BenchOptions): Promise<BenchResult> {
  const rates = readList(options, 'rates', ['20', '60', '120', '240']).map(Number);
  const seconds = readNumber(options, 'seconds', 15);
  const entryHostCount = 4;
  const points: CapacityPoint[] = [];
  for (const rate of rates) {
    options.note(`${rate} requests a second`);
    const fleet = await startFleet({
      shape: buildWideShape(MOULINET),
      entryHostCount,
      engineCount: 1,
      plainServerCount: 3,
      entryHostFlags: QUIET_FLAGS,
    });
    points.push(await readUnderLoad(fleet, { x: rate / entryHostCount, rate, seconds }));
  }
  const settings = { rates, seconds, entryHostCount };
  return buildCapacityResult('requests/s a host', points, settings);
}

async function readAtRest(fleet: Fleet, x: number, seconds: number): Promise<CapacityPoint> {
  try {
    await waitMs(SETTLE_MS);
    return await readCapacityPoint(fleet, x, () => waitMs(seconds * MS_PER_SECOND));
  } finally {
    await fleet.stop();
  }
}

async function readUnderLoad(
  fleet: Fleet,
  load: { x: number; rate: number; seconds: number },
): Promise<CapacityPoint> {
  const plan = parseLoadPlan({
    phases: [{ name: 'steady', seconds: load.seconds, requestsPerSecond: load.rate }],
    callersPerAccount: 4,
    accounts: fleet.accounts.map((account) => ({ ...account })),
    work: [
      {
        name: 'status',
        share: 1,
        tier: 'urgent',
        service: fleet.parts.options.shape.plainService,
        withId: false,
        deadlineMs: 5000,
      },
    ],
  });
  const urls = fleet.entryHosts.map(({ url }) => url);
  try {
    await waitMs(SETTLE_MS);
    return await readCapacityPoint(fleet, load.x, async () => {
      await runLoad(plan, { urls, seed: 1 });
    });
  } finally {
    await fleet.stop();
  }
}

function buildManyAccounts(count: number): FleetShape {
  const template = MOULINET.contracts[0] as ContractDocument;
  const contracts = Array.from({ length: count }, (_, index) => {
    const account = `account-${index + 1}`;
    return { ...template, account, keys: [{ sha256: hashApiKey(buildApiKey(account)) }] };
  });
  return { ...MOULINET, contracts };
}
