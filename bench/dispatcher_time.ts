/**
 * Bench: latency of a slot request while slots are free.
 *
 * @module
 */
import { startFleet } from '../test/fleet/mod.js';
import type { EntryHost } from '../test/fleet/mod.js';
import { readNumber } from './bench.js';
import type { BenchOptions, BenchResult } from './bench.js';
import { createAgent } from './_call.js';
import { pickAccount, sendPlain } from './_caller_call.js';
import { readMetric } from './_entry_host_probe.js';

const QUANTILES = ['0.5', '0.99'];

/**
 * Sends calls one at a time through each of three entry hosts, so that a slot is always free, and
 * reads how long each call's owner waited for its slot. One entry host is the dispatcher itself; the
 * others send it a request over their link.
 *
 * @param options - `--calls`
 * @returns p50 and p99 of the wait at each entry host
 */
export async function runDispatcherTime(options: BenchOptions): Promise<BenchResult> {
  const calls = readNumber(options, 'calls', 600);
  const fleet = await startFleet({ engineCount: 1, plainServerFlags: ['--latency-ms', '0'] });
  const agent = createAgent();
  try {
    const caller = { account: pickAccount(fleet), agent };
    const service = fleet.parts.options.shape.plainService;
    for (let index = 0; index < calls * fleet.entryHosts.length; index += 1) {
      const host = fleet.entryHosts[index % fleet.entryHosts.length] as EntryHost;
      await sendPlain(host, { service, method: 'GET', path: '/status' }, caller);
    }
    const figures = await Promise.all(fleet.entryHosts.map(readSlotWait));
    return {
      settings: { calls },
      head: ['entry host', 'p50 ms', 'p99 ms'],
      rows: figures.map(({ id, waits }) => [id, ...waits]),
      figures,
    };
  } finally {
    agent.destroy();
    await fleet.stop();
  }
}

async function readSlotWait(host: EntryHost): Promise<{ id: string; waits: number[] }> {
  const samples = await readMetric(host, 'slot_wait_ms');
  const waits = QUANTILES.map(
    (quantile) =>
      samples.find(({ labels }) => labels.includes(`quantile="${quantile}"`))?.value ?? Number.NaN,
  );
  return { id: host.id, waits };
}
