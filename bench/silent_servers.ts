/**
 * Bench: calls that get no answer while sound servers fall silent and go on, beside changes of the
 * configuration.
 *
 * @module
 */
import { mkdirSync, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { SeededRandom } from '../test/support/fakes.js';
import { readNumber } from './bench.js';
import type { BenchOptions, BenchResult } from './bench.js';
import { sleep } from './_entry_host_probe.js';
import { SilentCallers } from './_silent_callers.js';
import { SilentFleet, SilentPart } from './_silent_fleet.js';
import { DrawnConfigurations } from './_silent_routes.js';
import { countLostCalls, listLostCalls } from './_silent_summary.js';

const MS_PER_SECOND = 1_000;

/** Interval between two configurations in milliseconds. */
const CHANGE_INTERVAL_MS = 900;

/** Time without silences before the end, in milliseconds. */
const CALM_MS = 1_000;

/**
 * Plays one run.
 *
 * @param options - `--seed`, `--hosts`, `--seconds`, `--rate` (factor), `--slack` (of the retry
 *   budget), `--change-ms` (0: no changes), `--part` (of {@link SilentPart}) and `--folder` for logs
 * @returns the calls that were not answered whole, by cause
 */
export async function runSilentServers(options: BenchOptions): Promise<BenchResult> {
  const seed = readNumber(options, 'seed', 1);
  const hosts = readNumber(options, 'hosts', 6);
  const seconds = readNumber(options, 'seconds', 30);
  const rate = readNumber(options, 'rate', 1);
  const slack = readNumber(options, 'slack', 56);
  const changeMs = readNumber(options, 'change-ms', CHANGE_INTERVAL_MS);
  const part = (options.flags.get('part') ?? SilentPart.Drawn) as SilentPart;
  const folder =
    options.flags.get('folder') ?? mkdtempSync(path.join(tmpdir(), 'monsoonhall-silent-'));
  mkdirSync(folder, { recursive: true });
  const fleet = new SilentFleet();
  const configurations = new DrawnConfigurations(new SeededRandom(seed));
  try {
    await fleet.startReplicas();
    fleet.fleet.store.put('op/config', configurations.publishNext());
    await fleet.startHosts(hosts, folder, slack);
    const addresses = fleet.fleet.entries.map(({ settings }) => settings.callersAddress);
    const callers = new SilentCallers(addresses, configurations, new SeededRandom(seed + 1));
    callers.start(rate);
    await sleep(MS_PER_SECOND);
    fleet.startSilences(part, new SeededRandom(seed + 2));
    const publish = (): void => fleet.fleet.store.put('op/config', configurations.publishNext());
    const changes = changeMs > 0 ? setInterval(publish, changeMs) : undefined;
    await sleep(seconds * MS_PER_SECOND);
    clearInterval(changes);
    fleet.stopSilences();
    await sleep(CALM_MS);
    await callers.stop();
    const { calls } = callers;
    const { published } = configurations;
    const lost = listLostCalls({ calls, replicas: fleet.replicas, published, folder });
    const counts = countLostCalls(lost);
    writeFileSync(path.join(folder, 'lost.json'), JSON.stringify({ seed, lost }, undefined, 1));
    return {
      settings: { seed, hosts, seconds, rate, slack, changeMs, part, folder },
      head: ['end', 'calls'],
      rows: [['all', calls.length], ['whole', calls.length - lost.length], ...counts],
      figures: {
        calls: calls.length,
        versions: published.length,
        lost: Object.fromEntries(counts),
      },
    };
  } finally {
    await fleet.stop();
  }
}
