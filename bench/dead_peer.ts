/**
 * Bench: how soon a dead or frozen entry host is noticed.
 *
 * @module
 */
import { startFleet, waitUntil } from '../test/fleet/mod.js';
import type { EntryHost, Fleet } from '../test/fleet/mod.js';
import { readNumber } from './bench.js';
import type { BenchOptions, BenchResult } from './bench.js';
import { readAdmin, waitMs } from './_entry_host_probe.js';
import { computeLatency } from './_statistics.js';

const NOTICE_LIMIT_MS = 30_000;
const SETTLE_MS = 2500;
const VICTIM = 'entry-4';

/** What `GET /v1/entry-hosts` tells of one. */
interface HostRow {
  readonly identity: { readonly id: string };
  readonly state: string;
}

/**
 * Kills and freezes one of four entry hosts, again and again.
 *
 * @param options - `--rounds`
 * @returns time until each of the others no longer takes it for live
 */
export async function runDeadPeer(options: BenchOptions): Promise<BenchResult> {
  const rounds = readNumber(options, 'rounds', 5);
  const fleet = await startFleet({ entryHostCount: 4, engineCount: 1 });
  const times: Record<string, number[]> = { 'killed (SIGKILL)': [], 'frozen (SIGSTOP)': [] };
  try {
    const victim = fleet.findEntryHost(VICTIM);
    for (let round = 0; round < rounds; round += 1) {
      times['killed (SIGKILL)']?.push(...(await readNotices(fleet, () => victim.kill('SIGKILL'))));
      await victim.restart();
      await waitLive(fleet);
      times['frozen (SIGSTOP)']?.push(...(await readNotices(fleet, () => victim.kill('SIGSTOP'))));
      victim.kill('SIGCONT');
      await waitLive(fleet);
    }
  } finally {
    fleet.findEntryHost(VICTIM).kill('SIGCONT');
    await fleet.stop();
  }
  const figures = Object.entries(times).map(([name, values]) => ({
    name,
    values,
    ...computeLatency(values),
  }));
  return {
    settings: { rounds, entryHostCount: 4, heartbeatMs: 500, suspectAfterMs: 2000 },
    head: ['entry host', 'notices', 'p50 ms', 'max ms'],
    rows: figures.map(({ name, count, p50, max }) => [name, count, p50, max]),
    figures,
  };
}

async function readNotices(fleet: Fleet, act: () => void): Promise<readonly number[]> {
  const others = fleet.entryHosts.filter(({ id }) => id !== VICTIM);
  const startMs = performance.now();
  act();
  return Promise.all(
    others.map(async (host) => {
      await waitUntil(async () => !(await isSeenLive(host)), {
        subject: `${host.id} to notice`,
        limitMs: NOTICE_LIMIT_MS,
      });
      return performance.now() - startMs;
    }),
  );
}

async function waitLive(fleet: Fleet): Promise<void> {
  const others = fleet.entryHosts.filter(({ id }) => id !== VICTIM);
  await Promise.all(
    others.map((host) =>
      waitUntil(() => isSeenLive(host), { subject: `${VICTIM} live`, limitMs: NOTICE_LIMIT_MS }),
    ),
  );
  await waitMs(SETTLE_MS);
}

async function isSeenLive(host: EntryHost): Promise<boolean> {
  const rows = await readAdmin<readonly HostRow[]>(host, '/v1/entry-hosts');
  return rows.some(({ identity, state }) => identity.id === VICTIM && state === 'live');
}
