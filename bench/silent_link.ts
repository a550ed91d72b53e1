/**
 * Bench: time until a link that goes silent without closing is detected.
 *
 * @module
 */
import { LinkFault, startFleet, waitUntil } from '../test/fleet/mod.js';
import type { EntryHost, Fleet } from '../test/fleet/mod.js';
import { readNumber } from './bench.js';
import type { BenchOptions, BenchResult } from './bench.js';
import { createAgent, sendTimed } from './_call.js';
import { acquireRequestId, pickAccount } from './_caller_call.js';
import type { CallerContext } from './_caller_call.js';
import { readAdmin, readMetricSum, sleep } from './_entry_host_probe.js';
import { computeLatency } from './_statistics.js';

const DETECTION_TIMEOUT_MS = 60_000;
const SETTLE_MS = 4000;
const WARM_UP_CALLS = 8;

/** One kind of link to silence. */
interface LinkCase {
  readonly name: string;
  /** Silences the link. @returns the detection time and the outcome of the affected work */
  readonly run: (fleet: Fleet, caller: CallerContext) => Promise<DetectionSample>;
}

/** Result of silencing a link once. */
interface DetectionSample {
  /** Time until the silence was detected, in milliseconds. */
  readonly noticedMs: number;
  /** Outcome of the affected work. */
  readonly work: string;
}

const CASES: readonly LinkCase[] = [
  { name: 'peer: link replaced', run: measurePeerLink },
  { name: 'peer: call on its way to its owner', run: measureForwardedCall },
  { name: 'configuration service: change in force', run: measureConfigurationService },
  {
    name: 'backend server: POST on kept connections',
    run: (f, c) => measureBackendServer(f, c, 'POST'),
  },
  {
    name: 'backend server: GET on a fresh connection',
    run: (f, c) => measureBackendServer(f, c, 'GET'),
  },
];

/**
 * Silences the existing connections of each kind of link while new connections work.
 *
 * @param options - `--rounds`
 * @returns detection time by kind of link
 */
export async function runSilentLink(options: BenchOptions): Promise<BenchResult> {
  const rounds = readNumber(options, 'rounds', 5);
  const fleet = await startFleet({
    entryHostCount: 3,
    engineCount: 1,
    plainServerFlags: ['--latency-ms', '0'],
    proxied: { peers: true, configuration: true },
  });
  const agent = createAgent();
  const samples = new Map<string, DetectionSample[]>();
  try {
    const caller = { account: pickAccount(fleet), agent };
    for (const each of CASES) {
      options.reportProgress(each.name);
      const list: DetectionSample[] = [];
      for (let round = 0; round < rounds; round += 1) {
        list.push(await each.run(fleet, caller));
        await sleep(SETTLE_MS);
      }
      samples.set(each.name, list);
    }
  } finally {
    agent.destroy();
    await fleet.stop();
  }
  const figures = [...samples].map(([name, list]) => ({
    name,
    list,
    ...computeLatency(list.map(({ noticedMs }) => noticedMs)),
  }));
  return {
    settings: { rounds, entryHostCount: 3 },
    head: ['link', 'rounds', 'p50 ms', 'max ms', 'work'],
    rows: figures.map(({ name, list, count, p50, max }) => [
      name,
      count,
      p50,
      max,
      formatWork(list),
    ]),
    figures,
  };
}

function formatWork(list: readonly DetectionSample[]): string {
  const counts = new Map<string, number>();
  list.forEach(({ work }) => counts.set(work, (counts.get(work) ?? 0) + 1));
  return [...counts].map(([work, count]) => `${work} × ${count}`).join(', ');
}

/** Silences all links between entry hosts until one is replaced. */
async function measurePeerLink(fleet: Fleet): Promise<DetectionSample> {
  const before = await sumReplacedLinks(fleet);
  const startMs = performance.now();
  silencePeerLinks(fleet);
  await waitUntil(async () => (await sumReplacedLinks(fleet)) > before, {
    subject: 'a replaced link',
    timeoutMs: DETECTION_TIMEOUT_MS,
  });
  return { noticedMs: performance.now() - startMs, work: 'replaced' };
}

/** Sends a call whose ID belongs to entry-2 to entry-1 right after their link went silent. */
async function measureForwardedCall(fleet: Fleet, caller: CallerContext): Promise<DetectionSample> {
  const owner = fleet.findEntryHost('entry-2');
  const requestId = await acquireRequestId(owner, caller);
  silencePeerLinks(fleet);
  return sendStatus(fleet.findEntryHost('entry-1'), fleet, caller, { requestId, method: 'GET' });
}

/** Silences peer links at every proxy, since either end may have dialed the link in use. */
function silencePeerLinks(fleet: Fleet): void {
  fleet.entryHosts.forEach(({ proxy }) => {
    proxy?.setFault(LinkFault.SilentOld);
    proxy?.setFault(LinkFault.None);
  });
}

async function sumReplacedLinks(fleet: Fleet): Promise<number> {
  const counts = await Promise.all(
    fleet.entryHosts.map((host) => readMetricSum(host, 'peer_links_replaced_total')),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

/** Silences every host's watch, so that no host can learn of the change from a peer. */
async function measureConfigurationService(fleet: Fleet): Promise<DetectionSample> {
  const { proxy } = fleet.configuration;
  proxy?.setFault(LinkFault.SilentOld);
  proxy?.setFault(LinkFault.None);
  const startMs = performance.now();
  const [contract] = fleet.parts.options.shape.contracts;
  if (!contract) throw new Error('Cannot publish: the shape has no contract');
  const revision = await fleet.publishContract({ ...contract, weight: 1 + (Date.now() % 90) });
  const isInEffect = async (): Promise<boolean> => {
    const states = await Promise.all(
      fleet.entryHosts.map((host) => readAdmin<{ revision: number }>(host, '/v1/configuration')),
    );
    return states.every((state) => state.revision >= revision);
  };
  await waitUntil(isInEffect, { subject: `revision ${revision}`, timeoutMs: DETECTION_TIMEOUT_MS });
  return { noticedMs: performance.now() - startMs, work: 'in force' };
}

/** Silences the connections that the entry host keeps open to the plain server. */
async function measureBackendServer(
  fleet: Fleet,
  caller: CallerContext,
  method: string,
): Promise<DetectionSample> {
  const host = fleet.findEntryHost('entry-1');
  for (let call = 0; call < WARM_UP_CALLS; call += 1) {
    const requestId = await acquireRequestId(host, caller);
    await sendStatus(host, fleet, caller, { requestId, method });
  }
  await fleet.setFault('plain-1', { kind: 'silent', oldConnectionsOnly: true });
  const requestId = await acquireRequestId(host, caller);
  const sample = await sendStatus(host, fleet, caller, { requestId, method });
  await fleet.setFault('plain-1', { kind: 'none' });
  return sample;
}

async function sendStatus(
  host: EntryHost,
  fleet: Fleet,
  caller: CallerContext,
  call: { requestId: string; method: string },
): Promise<DetectionSample> {
  const service = fleet.parts.options.shape.plainService;
  const path = call.method === 'GET' ? '/status' : '/notices';
  const response = await sendTimed({
    url: `${host.url}/v1/services/${service}${path}`,
    method: call.method,
    headers: {
      authorization: `Bearer ${caller.account.apiKey}`,
      'request-id': call.requestId,
      ...(call.method === 'GET' ? {} : { 'content-type': 'application/json' }),
    },
    body: call.method === 'GET' ? undefined : '{"notice":1}',
    agent: caller.agent,
  });
  const code = /"code":"([a-z_]+)"/.exec(response.text)?.[1];
  const work = response.status === 200 ? 'answered' : `${response.status} ${code}`;
  return { noticedMs: response.totalMs, work };
}
