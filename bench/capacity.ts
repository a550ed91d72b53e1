/**
 * Benches: slopes for the page on capacity.
 *
 * @module
 */
import { parseLoadPlan, runLoad } from '../src/load/mod.js';
import type { LoadPlan } from '../src/load/mod.js';
import { buildApiKey, hashApiKey, MOULINET, startFleet } from '../test/fleet/mod.js';
import type { ContractDocument, Fleet, FleetOptions, FleetShape } from '../test/fleet/mod.js';
import { readList, readNumber } from './bench.js';
import type { BenchOptions, BenchResult } from './bench.js';
import { buildCapacityResult, readCapacityPoint } from './_capacity_point.js';
import type { CapacityPoint } from './_capacity_point.js';
import { waitMs } from './_entry_host_probe.js';
import { ManyEngines, publishManyBackends } from './_many_backends.js';
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
    points.push(
      await readWithFleet({ entryHostCount: size }, (fleet) =>
        readAtRest(fleet, size - 1, seconds),
      ),
    );
  }
  return buildCapacityResult('peers', points, { sizes, seconds });
}

/**
 * Control and work against the number of backend servers.
 *
 * @param options - `--sizes`, `--seconds`, `--rate`
 * @returns slopes a backend server
 */
export async function runCapacityBackends(options: BenchOptions): Promise<BenchResult> {
  const sizes = readList(options, 'sizes', ['12', '75', '150', '300', '600']).map(Number);
  const seconds = readNumber(options, 'seconds', 15);
  const rate = readNumber(options, 'rate', 40);
  const points: CapacityPoint[] = [];
  for (const size of sizes) {
    options.note(`${size} backend servers`);
    points.push(
      await readWithFleet({ entryHostCount: 4 }, (fleet) =>
        readManyBackends(fleet, { x: size, rate, seconds }),
      ),
    );
  }
  const settings = { sizes, seconds, rate, entryHostCount: 4 };
  return buildCapacityResult('backend servers', points, settings);
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
    points.push(
      await readWithFleet({ shape, entryHostCount: 4 }, (fleet) =>
        readUnderLoad(fleet, { x: size, rate, seconds }),
      ),
    );
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
    const fleetOptions = { shape: buildWideShape(MOULINET), entryHostCount, plainServerCount: 3 };
    points.push(
      await readWithFleet(fleetOptions, (fleet) =>
        readUnderLoad(fleet, { x: rate / entryHostCount, rate, seconds }),
      ),
    );
  }
  const settings = { rates, seconds, entryHostCount };
  return buildCapacityResult('requests/s a host', points, settings);
}

async function readAtRest(fleet: Fleet, x: number, seconds: number): Promise<CapacityPoint> {
  await waitMs(SETTLE_MS);
  return readCapacityPoint(fleet, x, () => waitMs(seconds * MS_PER_SECOND));
}

/** Starts a fleet for one point and stops it, whatever comes in between. */
async function readWithFleet(
  options: FleetOptions,
  read: (fleet: Fleet) => Promise<CapacityPoint>,
): Promise<CapacityPoint> {
  const fleet = await startFleet({ entryHostFlags: QUIET_FLAGS, engineCount: 1, ...options });
  try {
    return await read(fleet);
  } finally {
    await fleet.stop();
  }
}

/** How a point is measured. */
interface PointLoad {
  /** Where on the axis the point lies. */
  readonly x: number;
  /** Requests a second. */
  readonly rate: number;
  readonly seconds: number;
  /** The model to be asked; undefined asks the plain service. */
  readonly model?: string;
}

/** A dispatcher looks after a group from its first request on: short prompts wake all of them. */
async function readManyBackends(fleet: Fleet, load: PointLoad): Promise<CapacityPoint> {
  const { model, modelService } = fleet.parts.options.shape;
  const engines = new ManyEngines();
  try {
    await publishManyBackends(fleet, await engines.start(load.x, modelService));
    await runLoad(buildPlan(fleet, { ...load, model }), { urls: listUrls(fleet), seed: 2 });
    return await readUnderLoad(fleet, { ...load, model });
  } finally {
    await engines.stop();
  }
}

function listUrls(fleet: Fleet): readonly string[] {
  return fleet.entryHosts.map(({ url }) => url);
}

function buildPlan(fleet: Fleet, load: PointLoad): LoadPlan {
  const { shape } = fleet.parts.options;
  return parseLoadPlan({
    phases: [{ name: 'steady', seconds: load.seconds, requestsPerSecond: load.rate }],
    callersPerAccount: 4,
    accounts: fleet.accounts.map((account) => ({ ...account })),
    work: [
      {
        name: 'status',
        share: 1,
        tier: 'urgent',
        service: load.model === undefined ? shape.plainService : shape.modelService,
        model: load.model,
        promptTokens: [8, 8],
        outputTokens: [1, 1],
        withId: false,
        deadlineMs: 5000,
      },
    ],
  });
}

async function readUnderLoad(fleet: Fleet, load: PointLoad): Promise<CapacityPoint> {
  await waitMs(SETTLE_MS);
  return readCapacityPoint(fleet, load.x, async () => {
    await runLoad(buildPlan(fleet, load), { urls: listUrls(fleet), seed: 1 });
  });
}

function buildManyAccounts(count: number): FleetShape {
  const template = MOULINET.contracts[0] as ContractDocument;
  const contracts = Array.from({ length: count }, (_, index) => {
    const account = `account-${index + 1}`;
    return { ...template, account, keys: [{ sha256: hashApiKey(buildApiKey(account)) }] };
  });
  return { ...MOULINET, contracts };
}
