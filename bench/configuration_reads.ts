/**
 * Bench: reads a second at the platform, against the number of entry hosts.
 *
 * @module
 */
import { startFleet } from '../test/fleet/mod.js';
import type { Fleet, PlatformProcess } from '../test/fleet/mod.js';
import { readList, readNumber } from './bench.js';
import type { BenchOptions, BenchResult } from './bench.js';
import { waitMs } from './_entry_host_probe.js';
import { computeLine } from './_statistics.js';

const MS_PER_SECOND = 1000;
const FUTURE_HOSTS = 410;
const CHANGES_A_DAY = 270;
const SECONDS_A_DAY = 86_400;
const SETTLE_MS = 1500;

/** Reads at one size. */
interface ReadPoint {
  readonly hosts: number;
  readonly configurationPerSecond: number;
  readonly hostListPerSecond: number;
  readonly readsPerChange: number;
}

/**
 * Counts reads at rest and for each published change.
 *
 * @param options - `--sizes`, `--seconds`, `--changes`
 * @returns slopes, and what they say of 410 hosts
 */
export async function runConfigurationReads(options: BenchOptions): Promise<BenchResult> {
  const sizes = readList(options, 'sizes', ['1', '2', '4', '8']).map(Number);
  const seconds = readNumber(options, 'seconds', 20);
  const changes = readNumber(options, 'changes', 10);
  const points: ReadPoint[] = [];
  for (const size of sizes) {
    options.note(`${size} entry hosts`);
    points.push(await readPoint(size, seconds, changes));
  }
  const atRest = computeLine(
    points.map(({ hosts, configurationPerSecond }) => ({ x: hosts, y: configurationPerSecond })),
  );
  const hostList = computeLine(
    points.map(({ hosts, hostListPerSecond }) => ({ x: hosts, y: hostListPerSecond })),
  );
  const perChange = computeLine(
    points.map(({ hosts, readsPerChange }) => ({ x: hosts, y: readsPerChange })),
  );
  const changesPerSecond = CHANGES_A_DAY / SECONDS_A_DAY;
  const future = {
    hosts: FUTURE_HOSTS,
    configurationPerSecond:
      FUTURE_HOSTS * atRest.slope + changesPerSecond * perChange.slope * FUTURE_HOSTS,
    hostListPerSecond: FUTURE_HOSTS * hostList.slope,
    readsPerChange: FUTURE_HOSTS * perChange.slope,
  };
  const toRow = (name: string, point: ReadPoint): (string | number)[] => [
    name,
    point.configurationPerSecond,
    point.hostListPerSecond,
    point.readsPerChange,
  ];
  return {
    settings: { sizes, seconds, changes, changesADay: CHANGES_A_DAY },
    head: ['entry hosts', 'configuration reads/s', 'host list reads/s', 'reads a change'],
    rows: [
      ...points.map((point) => toRow(String(point.hosts), point)),
      ['slope a host', atRest.slope, hostList.slope, perChange.slope],
      toRow(`${FUTURE_HOSTS} by the slopes`, future),
    ],
    figures: { points, atRest, hostList, perChange, future },
  };
}

async function readPoint(hosts: number, seconds: number, changes: number): Promise<ReadPoint> {
  const fleet = await startFleet({ entryHostCount: hosts, engineCount: 1 });
  try {
    await waitMs(SETTLE_MS);
    const configuration = await readCount(fleet.configuration);
    const hostList = await readCount(fleet.hostList);
    await waitMs(seconds * MS_PER_SECOND);
    const configurationAfter = await readCount(fleet.configuration);
    const hostListAfter = await readCount(fleet.hostList);
    const readsPerChange = await readChanges(fleet, changes);
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

/** Changes come half a second apart, so each of them wakes every watch. */
async function readChanges(fleet: Fleet, changes: number): Promise<number> {
  const [contract] = fleet.parts.options.shape.contracts;
  if (!contract) throw new Error('Cannot publish: the shape has no contract');
  const before = await readCount(fleet.configuration);
  for (let change = 0; change < changes; change += 1) {
    await fleet.publishContract({ ...contract, weight: 1 + change });
    await waitMs(MS_PER_SECOND / 2);
  }
  return ((await readCount(fleet.configuration)) - before) / changes;
}

async function readCount(platform: PlatformProcess): Promise<number> {
  return (await platform.operator.readCounts()).reads;
}
