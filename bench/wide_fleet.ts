/**
 * Bench: resource usage of an entry host in a large fleet without calls.
 *
 * @module
 */
import { METRICS_PATH, METRICS_PORT } from '../platform/endpoints.js';
import { buildConfiguration } from '../platform/test/documents.js';
import { PlatformFleet, exchange } from '../platform/test/fleet.js';
import type { EntryProcess } from '../platform/test/fleet.js';
import type { DirectSettings } from '../src/commands/direct_settings.js';
import { readNumber } from './bench.js';
import type { BenchOptions, BenchResult } from './bench.js';
import { computeRates, readProcessUsage, sleep } from './_entry_host_probe.js';
import type { UsageRate } from './_entry_host_probe.js';
import { computeMean } from './_statistics.js';

/** Number of availability zones that the entry hosts are spread over. */
const ZONES = 5;

/** One in this many entry hosts has a large CPU quota, as in the users' mixed fleets. */
const LARGE_HOST_INTERVAL = 12;

/** CPU cores of the entry hosts with a large quota, and of the others. */
const LARGE_HOST_CORES = 1;
const SMALL_HOST_CORES = 0.324;

/** Interval between changes of backend server entries in milliseconds, as in a rolling release. */
const CHANGE_INTERVAL_MS = 1_000;

const MS_PER_SECOND = 1_000;

/** Role of an entry host in the distribution of reports. */
enum FleetRole {
  /** Sends only its own reports. */
  Member = 'member',
  /** Also forwards the reports of other entry hosts. */
  Relay = 'relay',
}

/** Measured usage of one entry host. */
interface HostFigures {
  readonly role: FleetRole;
  readonly rate: UsageRate;
  readonly messagesPerSecond: number;
}

/** Size of the measured fleet. */
interface FleetSize {
  readonly hosts: number;
  readonly servers: number;
  readonly accounts: number;
}

/**
 * Starts entry hosts as processes, lets them discover each other, and measures the usage of each.
 *
 * @param options - `--hosts`, `--servers`, `--accounts`, `--settle` and `--seconds`;
 *   `--profile DIR` makes every entry host write a CPU profile to that folder
 * @returns one row per role
 */
export async function runWideFleet(options: BenchOptions): Promise<BenchResult> {
  const size: FleetSize = {
    hosts: readNumber(options, 'hosts', 66),
    servers: readNumber(options, 'servers', 60),
    accounts: readNumber(options, 'accounts', 19),
  };
  const settleS = readNumber(options, 'settle', 20);
  const seconds = readNumber(options, 'seconds', 10);
  const profileFolder = options.flags.get('profile');
  const fleet = new PlatformFleet();
  if (profileFolder !== undefined) {
    fleet.nodeArguments = ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`];
  }
  try {
    await fleet.start(0, []);
    fleet.store.put('op/config', buildWideConfiguration(size.accounts));
    const stopChanges = startChanges(fleet, size.servers);
    await fleet.startEntries(size.hosts, buildHostSettings);
    options.reportProgress(`${size.hosts} entry hosts started; ${settleS} s for discovery`);
    await sleep(settleS * MS_PER_SECOND);
    const figures = await measureHosts(fleet, seconds);
    stopChanges();
    if (profileFolder !== undefined) await stopGracefully(fleet);
    return buildResult({ ...size, settleS, seconds }, figures);
  } finally {
    await fleet.stop();
  }
}

/** Stops the entry hosts by SIGTERM, since a killed process writes no CPU profile. */
async function stopGracefully({ entries }: PlatformFleet): Promise<void> {
  entries.forEach(({ process }) => process.kill('SIGTERM'));
  await Promise.all(entries.map(({ exited }) => exited));
}

function buildWideConfiguration(accounts: number): object {
  const tenants = Array.from({ length: accounts }, (_, index) => ({
    name: `firm-${index}`,
    apiKeys: [`key-${index}`],
    unit: 'token_count',
    uncachedTokens: 100,
    ratePerS: 10_000,
    burst: 20_000,
  }));
  return { ...buildConfiguration(1), tenants };
}

/** Changes backend server entries in turn; each change is distributed to all entry hosts. */
function startChanges({ store }: PlatformFleet, servers: number): () => void {
  let changes = 0;
  const write = (index: number): void => {
    store.put(`servers/i-${index}`, {
      service: 'engines',
      address: `127.0.0.2:${10_000 + index}`,
      zone: 'hall-a',
      version: 1,
      slots: 8,
      state: 'ready',
      warmupLeftMs: changes,
      sequence: changes,
      born: 1_700_000_000_000,
    });
  };
  for (let index = 0; index < servers; index += 1) write(index);
  const timer = setInterval(() => {
    changes += 1;
    write(changes % servers);
  }, CHANGE_INTERVAL_MS);
  return () => clearInterval(timer);
}

/** Builds the settings of an entry host: its availability zone and its CPU quota. */
function buildHostSettings(index: number): Partial<DirectSettings> {
  const isLarge = index % LARGE_HOST_INTERVAL === 0;
  return {
    availabilityZone: `hall-${index % ZONES}`,
    coreShare: isLarge ? LARGE_HOST_CORES : SMALL_HOST_CORES,
  };
}

async function measureHosts(fleet: PlatformFleet, seconds: number): Promise<HostFigures[]> {
  const entries = fleet.entries.filter(({ process }) => process.exitCode === null);
  const before = await Promise.all(entries.map(readMessages));
  const usageBefore = entries.map(({ process }) => readProcessUsage(process.pid ?? 0));
  await sleep(seconds * MS_PER_SECOND);
  const usageAfter = entries.map(({ process }) => readProcessUsage(process.pid ?? 0));
  const after = await Promise.all(entries.map(readMessages));
  return entries.map((_, index) => {
    const from = usageBefore[index];
    const to = usageAfter[index];
    if (!from || !to) throw new Error('Cannot compare readings: one is missing');
    const messages = (after[index]?.messages ?? 0) - (before[index]?.messages ?? 0);
    return {
      role: after[index]?.isRelay ? FleetRole.Relay : FleetRole.Member,
      rate: computeRates(from, to),
      messagesPerSecond: messages / seconds,
    };
  });
}

async function readMessages({
  settings,
}: EntryProcess): Promise<{ readonly isRelay: boolean; readonly messages: number }> {
  const { body } = await exchange(`${settings.ip}:${METRICS_PORT}`, METRICS_PATH, {}, 'GET');
  const sent = [...body.matchAll(/peer_messages_sent_total\S* (\d+)/g)];
  return {
    isRelay: /_passes_reports_on 1$/m.test(body),
    messages: sent.reduce((sum, [, value]) => sum + Number(value), 0),
  };
}

function buildResult(settings: object, figures: readonly HostFigures[]): BenchResult {
  const rows = Object.values(FleetRole).flatMap((role) => {
    const roleFigures = figures.filter((figure) => figure.role === role);
    if (roleFigures.length === 0) return [];
    const average = (read: (figure: HostFigures) => number): number =>
      computeMean(roleFigures.map(read));
    return [
      [
        role,
        roleFigures.length,
        average(({ rate }) => rate.cpuShare).toFixed(4),
        Math.max(...roleFigures.map(({ rate }) => rate.cpuShare)).toFixed(4),
        average(({ messagesPerSecond }) => messagesPerSecond).toFixed(1),
        Math.round(average(({ rate }) => rate.readBytesPerSecond)),
        Math.round(average(({ rate }) => rate.writtenBytesPerSecond)),
        (average(({ rate }) => rate.residentBytes) / 1e6).toFixed(1),
      ],
    ];
  });
  return {
    settings: { ...settings },
    head: [
      'role',
      'hosts',
      'cores',
      'most cores',
      'messages sent/s',
      'bytes in/s',
      'bytes out/s',
      'resident MB',
    ],
    rows,
    figures,
  };
}
