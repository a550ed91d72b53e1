/**
 * Bench: rate of reads at the platform as the number of entry hosts grows.
 *
 * @module
 */
import { startFleet } from '../test/fleet/mod.js';
import type { Fleet, PlatformProcess } from '../test/fleet/mod.js';
import { readList, readNumber } from './bench.js';
import type { BenchOptions, BenchResult } from './bench.js';
import { sleep } from './_entry_host_probe.js';
import { fitLine } from './_statistics.js';

const MS_PER_SECOND = 1000;
const PROJECTED_HOSTS = 410;
const CHANGES_PER_DAY = 270;
const SECONDS_PER_DAY = 86_400;
const SETTLE_MS = 1500;

/** Rates of reads at one number of entry hosts. */
interface ReadPoint {
  readonly hosts: number;
  /** Reads of the configuration, without changes. */
  readonly configurationPerSecond: number;
  readonly hostListPerSecond: number;
  readonly readsPerChange: number;
}

/**
 * Counts reads without changes and for each published change.
 *
 * @param options - `--sizes`, `--seconds`, `--changes`
 * @returns slopes, and their projection for 410 hosts
 */
export async function runConfigurationReads(options: BenchOptions): Promise<BenchResult> {
  const sizes = readList(options, 'sizes', ['1', '2', '4', '8']).map(Number);
  const seconds = readNumber(options, 'seconds', 20);
  const changes = readNumber(options, 'changes', 10);
  const points: ReadPoint[] = [];
  for (const size of sizes) {
    options.reportProgress(`${size} entry hosts`);
    points.push(await measurePoint(size, seconds, changes));
  }
  const atRest = fitLine(
    points.map(({ hosts, configurationPerSecond }) => ({ x: hosts, y: configurationPerSecond })),
  );
  const hostList = fitLine(
    points.map(({ hosts, hostListPerSecond }) => ({ x: hosts, y: hostListPerSecond })),
  );
  const perChange = fitLine(
    points.map(({ hosts, readsPerChange }) => ({ x: hosts, y: readsPerChange })),
  );
  const changesPerSecond = CHANGES_PER_DAY / SECONDS_PER_DAY;
  const future = {
    hosts: PROJECTED_HOSTS,
    configurationPerSecond:
      PROJECTED_HOSTS * atRest.slope + changesPerSecond * perChange.slope * PROJECTED_HOSTS,
    hostListPerSecond: PROJECTED_HOSTS * hostList.slope,
    readsPerChange: PROJECTED_HOSTS * perChange.slope,
  };
  const toRow = (name: string, point: ReadPoint): (string | number)[] => [
    name,
    point.configurationPerSecond,
    point.hostListPerSecond,
    point.readsPerChange,
  ];
  return {
    settings: { sizes, seconds, changes, changesADay: CHANGES_PER_DAY },
    head: ['entry hosts', 'configuration reads/s', 'host list reads/s', 'reads a change'],
    rows: [
      ...points.map((point) => toRow(String(point.hosts), point)),
      ['slope a host', atRest.slope, hostList.slope, perChange.slope],
      toRow(`${PROJECTED_HOSTS} by the slopes`, future),
    ],
    figures: { points, atRest, hostList, perChange, future },
  };
}

async function measurePoint(hosts: number, seconds: number, changes: number): Promise<ReadPoint> {
  const fleet = await startFleet({ entryHostCount: hosts, engineCount: 1 });
  try {
    await sleep(SETTLE_MS);
    const configuration = await readCount(fleet.configuration);
    const hostList = await readCount(fleet.hostList);
    await sleep(seconds * MS_PER_SECOND);
    const configurationAfter = await readCount(fleet.configuration);
    const hostListAfter = await readCount(fleet.hostList);
    const readsPerChange = await measureReadsPerChange(fleet, changes);
    return {
      hosts,
      configurationPerSecond: (configurationAfter - configuration) / seconds,
      hostListPerSecond: (hostListAfter - hostList) / seconds,
      readsPerChange,
    };
  } finally {
    await fleet.stop();
  }
}

/**
 * Counts platform reads per change. Changes are half a second apart, so that each one completes
 * every watch.
 */
async function measureReadsPerChange(fleet: Fleet, changes: number): Promise<number> {
  const [contract] = fleet.parts.options.shape.contracts;
  if (!contract) throw new Error('Cannot publish: the shape has no contract');
  const before = await readCount(fleet.configuration);
  for (let change = 0; change < changes; change += 1) {
    await fleet.publishContract({ ...contract, weight: 1 + change });
    await sleep(MS_PER_SECOND / 2);
  }
  return ((await readCount(fleet.configuration)) - before) / changes;
}

async function readCount(platform: PlatformProcess): Promise<number> {
  return (await platform.operator.readCounts()).reads;
}
