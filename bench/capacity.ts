/**
 * Benches: how the usage of an entry host grows with peers, backend servers, accounts and requests.
 *
 * @module
 */
import { parseLoadPlan, runLoad } from '../src/load/mod.js';
import type { LoadPlan } from '../src/load/mod.js';
import { buildApiKey, hashApiKey, MOULINET, startFleet } from '../test/fleet/mod.js';
import type { ContractDocument, Fleet, FleetOptions, FleetShape } from '../test/fleet/mod.js';
import { readList, readNumber } from './bench.js';
import type { BenchOptions, BenchResult } from './bench.js';
import { buildCapacityResult, measureCapacityPoint } from './_capacity_point.js';
import type { CapacityPoint } from './_capacity_point.js';
import { sleep } from './_entry_host_probe.js';
import { EngineProcesses, publishEngines } from './_many_backends.js';
import { buildWideShape } from './_wide_shape.js';

const SETTLE_MS = 4000;
const MS_PER_SECOND = 1000;
const QUIET_FLAGS = ['--log-level', 'warn'];

/**
 * Measures control traffic without calls as the number of entry hosts grows.
 *
 * @param options - `--sizes`, `--seconds`
 * @returns slopes per peer
 */
export async function runCapacityPeers(options: BenchOptions): Promise<BenchResult> {
  const sizes = readList(options, 'sizes', ['2', '4', '8', '16', '24']).map(Number);
  const seconds = readNumber(options, 'seconds', 15);
  const points: CapacityPoint[] = [];
  for (const size of sizes) {
    options.reportProgress(`${size} entry hosts`);
    points.push(
      await measureWithFleet({ entryHostCount: size }, (fleet) =>
        measureWithoutLoad(fleet, size - 1, seconds),
      ),
    );
  }
  return buildCapacityResult('peers', points, { sizes, seconds });
}

/**
 * Measures usage under constant load as the number of backend servers grows.
 *
 * @param options - `--sizes`, `--seconds`, `--rate`
 * @returns slopes per backend server
 */
export async function runCapacityBackends(options: BenchOptions): Promise<BenchResult> {
  const sizes = readList(options, 'sizes', ['12', '75', '150', '300', '600']).map(Number);
  const seconds = readNumber(options, 'seconds', 15);
  const rate = readNumber(options, 'rate', 40);
  const points: CapacityPoint[] = [];
  for (const size of sizes) {
    options.reportProgress(`${size} backend servers`);
    points.push(
      await measureWithFleet({ entryHostCount: 4 }, (fleet) =>
        measureManyBackends(fleet, { x: size, rate, seconds }),
      ),
    );
  }
  const settings = { sizes, seconds, rate, entryHostCount: 4 };
  return buildCapacityResult('backend servers', points, settings);
}

/**
 * Measures usage under constant load as the number of client accounts that share it grows.
 *
 * @param options - `--sizes`, `--seconds`, `--rate`
 * @returns slopes per account
 */
export async function runCapacityAccounts(options: BenchOptions): Promise<BenchResult> {
  const sizes = readList(options, 'sizes', ['5', '170', '340', '680']).map(Number);
  const seconds = readNumber(options, 'seconds', 15);
  const rate = readNumber(options, 'rate', 60);
  const points: CapacityPoint[] = [];
  for (const size of sizes) {
    options.reportProgress(`${size} accounts`);
    const shape = buildManyAccounts(size);
    points.push(
      await measureWithFleet({ shape, entryHostCount: 4 }, (fleet) =>
        measureUnderLoad(fleet, { x: size, rate, seconds }),
      ),
    );
  }
  return buildCapacityResult('accounts', points, { sizes, seconds, rate, entryHostCount: 4 });
}

/**
 * Measures usage as the request rate grows.
 *
 * @param options - `--rates`, `--seconds`
 * @returns slopes per request per second at one entry host
 */
export async function runCapacityRequests(options: BenchOptions): Promise<BenchResult> {
  const rates = readList(options, 'rates', ['20', '60', '120', '240']).map(Number);
  const seconds = readNumber(options, 'seconds', 15);
  const entryHostCount = 4;
  const points: CapacityPoint[] = [];
  for (const rate of rates) {
    options.reportProgress(`${rate} requests a second`);
    const fleetOptions = { shape: buildWideShape(MOULINET), entryHostCount, plainServerCount: 3 };
    points.push(
      await measureWithFleet(fleetOptions, (fleet) =>
        measureUnderLoad(fleet, { x: rate / entryHostCount, rate, seconds }),
      ),
    );
  }
  const settings = { rates, seconds, entryHostCount };
  return buildCapacityResult('requests/s a host', points, settings);
}

async function measureWithoutLoad(
  fleet: Fleet,
  x: number,
  seconds: number,
): Promise<CapacityPoint> {
  await sleep(SETTLE_MS);
  return measureCapacityPoint(fleet, x, () => sleep(seconds * MS_PER_SECOND));
}

/** Starts a fleet, measures one point and always stops the fleet. */
async function measureWithFleet(
  options: FleetOptions,
  measure: (fleet: Fleet) => Promise<CapacityPoint>,
): Promise<CapacityPoint> {
  const fleet = await startFleet({ entryHostFlags: QUIET_FLAGS, engineCount: 1, ...options });
  try {
    return await measure(fleet);
  } finally {
    await fleet.stop();
  }
}

/** Load under which a point is measured. */
interface PointLoad {
  /** Value on the load axis. */
  readonly x: number;
  /** Requests per second. */
  readonly rate: number;
  readonly seconds: number;
  /** The model to call; undefined calls the plain service. */
  readonly model?: string;
}

/**
 * Measures a point with many engines. A dispatcher starts for a group at the group's first request,
 * so a first load of short prompts activates all groups before the measurement.
 */
async function measureManyBackends(fleet: Fleet, load: PointLoad): Promise<CapacityPoint> {
  const { model, modelService } = fleet.parts.options.shape;
  const engines = new EngineProcesses();
  try {
    await publishEngines(fleet, await engines.start(load.x, modelService));
    await runLoad(buildPlan(fleet, { ...load, model }), { urls: listUrls(fleet), seed: 2 });
    return await measureUnderLoad(fleet, { ...load, model });
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

async function measureUnderLoad(fleet: Fleet, load: PointLoad): Promise<CapacityPoint> {
  await sleep(SETTLE_MS);
  return measureCapacityPoint(fleet, load.x, async () => {
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
