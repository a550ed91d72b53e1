/**
 * Bench: time until a dead or paused entry host is detected.
 *
 * @module
 */
import { startFleet, waitUntil } from '../test/fleet/mod.js';
import type { EntryHost, Fleet } from '../test/fleet/mod.js';
import { readNumber } from './bench.js';
import type { BenchOptions, BenchResult } from './bench.js';
import { readAdmin, sleep } from './_entry_host_probe.js';
import { computeLatency } from './_statistics.js';

const DETECTION_TIMEOUT_MS = 30_000;
const SETTLE_MS = 2500;
const VICTIM = 'entry-4';

/** One entry of the response to `GET /v1/entry-hosts`. */
interface HostRow {
  readonly identity: { readonly id: string };
  readonly state: string;
}

/**
 * Repeatedly kills and pauses one of four entry hosts.
 *
 * @param options - `--rounds`
 * @returns time until each other entry host no longer reports it as live
 */
export async function runDeadPeer(options: BenchOptions): Promise<BenchResult> {
  const rounds = readNumber(options, 'rounds', 5);
  const fleet = await startFleet({ entryHostCount: 4, engineCount: 1 });
  const times: Record<string, number[]> = { 'killed (SIGKILL)': [], 'frozen (SIGSTOP)': [] };
  try {
    const victim = fleet.findEntryHost(VICTIM);
    for (let round = 0; round < rounds; round += 1) {
      times['killed (SIGKILL)']?.push(
        ...(await measureDetectionMs(fleet, () => victim.kill('SIGKILL'))),
      );
      await victim.restart();
      await waitUntilLive(fleet);
      times['frozen (SIGSTOP)']?.push(
        ...(await measureDetectionMs(fleet, () => victim.kill('SIGSTOP'))),
      );
      victim.kill('SIGCONT');
      await waitUntilLive(fleet);
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

async function measureDetectionMs(
  fleet: Fleet,
  injectFault: () => void,
): Promise<readonly number[]> {
  const others = fleet.entryHosts.filter(({ id }) => id !== VICTIM);
  const startMs = performance.now();
  injectFault();
  return Promise.all(
    others.map(async (host) => {
      await waitUntil(async () => !(await isSeenLive(host)), {
        subject: `${host.id} to notice`,
        timeoutMs: DETECTION_TIMEOUT_MS,
      });
      return performance.now() - startMs;
    }),
  );
}

async function waitUntilLive(fleet: Fleet): Promise<void> {
  const others = fleet.entryHosts.filter(({ id }) => id !== VICTIM);
  await Promise.all(
    others.map((host) =>
      waitUntil(() => isSeenLive(host), {
        subject: `${VICTIM} live`,
        timeoutMs: DETECTION_TIMEOUT_MS,
      }),
    ),
  );
  await sleep(SETTLE_MS);
}

async function isSeenLive(host: EntryHost): Promise<boolean> {
  const rows = await readAdmin<readonly HostRow[]>(host, '/v1/entry-hosts');
  return rows.some(({ identity, state }) => identity.id === VICTIM && state === 'live');
}
