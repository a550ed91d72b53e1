/**
 * Each kind of link falls silent without being closed, while new connections work. This happens
 * when a network device between the two ends loses the state of a connection.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { CallerClient } from '../../src/caller/mod.js';
import { CutProxy, LinkFault, MOULINET, startFleet } from '../fleet/mod.js';
import type { ContractDocument, EntryHost } from '../fleet/mod.js';
import { isLeavingAt, WAIT_TIMEOUT_MS, readConfiguration, waitForAll } from './_admin.js';
import { buildReport, findViolations, TestCaller } from './_caller.js';
import type { Outcome } from './_caller.js';

const FILE_LIMIT_MS = 180_000;
const CALLER_TIMEOUT_MS = 500;
const LONG_REPORT_TOKENS = 150;

/** Target of the callers' proxy: the first entry host, whose port is set once it is known. */
const target = { host: '127.0.0.1', port: 0 };
const callersProxy = new CutProxy(target);
await callersProxy.open();
const fleet = await startFleet({
  entryHostCount: 3,
  engineCount: 2,
  proxied: { peers: true, configuration: true, hostList: true, backendServers: true },
  entryHostFlags: ['--advertise', callersProxy.url],
});
const [owner, other, third] = fleet.entryHosts as [EntryHost, EntryHost, EntryHost];
target.port = Number(new URL(owner.url).port);
const caller = new TestCaller(fleet.accounts[0]?.apiKey ?? '');

t.setTimeout(FILE_LIMIT_MS);
t.teardown(async () => {
  await fleet.stop();
  await callersProxy.close();
});

/** Requests IDs from an entry host until it is itself the owner of one. @returns the ID */
async function acquireRequestId(host: EntryHost): Promise<string> {
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const assigned = await caller.send(host.url, { method: 'POST', path: '/v1/requests' });
    const { id, entryHost } = JSON.parse(assigned.text) as {
      id: string;
      entryHost: { id: string };
    };
    if (entryHost.id === host.id) return id;
  }
  throw new Error(`Cannot get a request ID of ${host.id}`);
}

/** Reads the complete response stream from the engine that ran the request. */
async function readStream(headers: Outcome['headers']): Promise<string> {
  const server = fleet.findBackendServer(String(headers['backend-server']));
  const url = `${server.url}/v1/streams/${String(headers['stream-id'])}?offset=0`;
  return (await fetch(url)).text();
}

/** Sends one short report to each entry host, which owns its ID, all concurrently. */
function sendReports(hosts: readonly EntryHost[], text: string): Promise<Outcome[]> {
  return Promise.all(
    hosts.map(async (host) => caller.sendReport(host.url, await acquireRequestId(host), text)),
  );
}

/** Formats an outcome as one line. @param outcome - it. @returns status, code and run */
function formatOutcome({ status, code, run }: Outcome): string {
  return status === 200 ? '200' : `${status} ${code} ${run}`;
}

/** Sends a long report and calls back when the first chunk of its response arrives. */
function sendLongReport(url: string, id: string, onFirstChunk: () => void): Promise<Outcome> {
  let chunkCount = 0;
  const onChunk = (): void => {
    chunkCount += 1;
    if (chunkCount === 1) onFirstChunk();
  };
  return caller.send(url, {
    ...buildReport(id, 'A long report.', LONG_REPORT_TOKENS),
    onChunk,
  });
}

async function assertSingleRuns(t: Test, ids: readonly string[]): Promise<void> {
  const runs = await fleet.readRuns();
  t.same(findViolations(caller.outcomes, runs), []);
  ids.forEach((id) => {
    t.equal(runs.filter(({ requestId }) => requestId === id).length, 1, 'the call ran once');
  });
}

t.test(
  "a response on a silent caller's link is resumed over a new one, without a rerun",
  async (t) => {
    // Guards against a caller that waits forever for the rest of a report: the connection loses its
    // remote end within the response, and neither end closes it. The caller must not wait for bytes
    // without checking whether any more can come.
    const client = new CallerClient({
      urls: [callersProxy.url],
      apiKey: caller.apiKey,
      silenceTimeoutMs: CALLER_TIMEOUT_MS,
    });
    t.teardown(() => client.close());
    const { path, body, workKind } = buildReport('', 'A long report.', LONG_REPORT_TOKENS);
    const call = { method: 'POST', path, body: JSON.stringify(body), workKind };
    const request = { ...call, signal: AbortSignal.timeout(WAIT_TIMEOUT_MS) };
    const reply = await client.send(request);
    const parts: Uint8Array[] = [];
    let silentAtMs = 0;
    for await (const bytes of reply.body) {
      if (parts.length === 0) {
        callersProxy.setFault(LinkFault.SilentOld);
        silentAtMs = performance.now();
      }
      parts.push(bytes);
    }
    t.comment(`complete ${Math.round(performance.now() - silentAtMs)} ms after the silence`);
    t.ok(reply.resumes > 0, `resumed ${reply.resumes} times`);
    t.equal(Buffer.concat(parts).toString(), await readStream(reply.headers));
    await assertSingleRuns(t, [reply.requestId]);

    callersProxy.setFault(LinkFault.SilentOld);
    const next = await client.send(request);
    t.equal(next.status, 200, 'no call is lost on a pooled connection that has gone silent');
    await next.body[Symbol.asyncIterator]().next();
    await assertSingleRuns(t, [next.requestId]);
  },
);

t.test('silent peer links end the call, delay no new call and are replaced', async (t) => {
  // Guards against calls through one entry host that never end although both hosts run: the link
  // between the hosts falls silent while a response is forwarded. Not only a closed socket must
  // count as a lost link.
  const id = await acquireRequestId(owner);
  let silentAtMs = 0;
  const pendingOutcome = sendLongReport(other.url, id, () => {
    fleet.entryHosts.forEach((host) => host.proxy?.setFault(LinkFault.SilentOld));
    silentAtMs = performance.now();
  });
  await waitForAll([owner], 'the first part', async () => silentAtMs > 0);
  const meanwhile = await sendReports([owner, other, third], 'A report in the silence.');
  t.same(meanwhile.map(formatOutcome), ['200', '200', '200'], 'each owner answers its own calls');
  const outcome = await pendingOutcome;
  t.comment(`the call ended after ${Math.round(performance.now() - silentAtMs)} ms`);
  if (outcome.text.includes('[DONE]')) {
    t.equal(outcome.text, await readStream(outcome.headers), 'the response is complete');
  } else t.match(outcome.text, /may_have_run/, 'the response ends with may_have_run');
  const isLost = async (host: EntryHost): Promise<boolean> =>
    /event=peer_link_(silent|down)/.test(host.output);
  await waitForAll(fleet.entryHosts, 'the silent links', isLost);
  let repeated: Outcome | undefined;
  await waitForAll([owner], 'an answer over a new link', async () => {
    repeated = await caller.sendReport(
      other.url,
      await acquireRequestId(owner),
      'After the silence.',
    );
    return repeated.status === 200;
  });
  t.comment(`forwarded again after ${Math.round(performance.now() - silentAtMs)} ms`);
  await assertSingleRuns(t, [id, repeated?.requestId ?? '']);
});

t.test('silent platform links delay no call, and new entries take effect', async (t) => {
  // Guards against an entry host that never learns of a new contract and logs nothing: the
  // connection of its watch falls silent. Although a watch may be silent for long, silence beyond
  // its wait must count as a fault.
  [fleet.configuration, fleet.hostList].forEach(({ proxy }) => {
    proxy?.setFault(LinkFault.SilentOld);
  });
  const silentAtMs = performance.now();
  const contract = MOULINET.contracts[0] as ContractDocument;
  const revision = await fleet.publishContract({ ...contract, weight: 9 });
  await fleet.setHostState('plain-1', 'leaving');
  const meanwhile = await sendReports([owner, other, third], 'A report without the platform.');
  t.same(meanwhile.map(formatOutcome), ['200', '200', '200']);
  await waitForAll(
    fleet.entryHosts,
    'the new contract',
    async (host) => (await readConfiguration(host)).revision >= revision,
  );
  t.comment(`in effect ${Math.round(performance.now() - silentAtMs)} ms after the silence`);
  await waitForAll(fleet.entryHosts, 'the new host list', (host) => isLeavingAt(host, 'plain-1'));
  t.comment(`host list ${Math.round(performance.now() - silentAtMs)} ms after the silence`);
  await fleet.setHostState('plain-1', 'live');
  await waitForAll(
    fleet.entryHosts,
    'the host list over the new link',
    async (host) => !(await isLeavingAt(host, 'plain-1')),
  );
  await assertSingleRuns(t, []);
});

t.test('a call on a silent backend server link runs once and is answered completely', async (t) => {
  // Guards against a report that is billed twice or never arrives: pooled connections to an engine
  // fall silent, one call is sent on such a connection, and another call is within its response.
  // The body must not be sent before the engine has shown that it is there, and the wait on a
  // silent connection must end.
  const silence = (): void => {
    fleet.backendServers.forEach(({ proxy }) => proxy?.setFault(LinkFault.SilentOld));
  };
  const hosts = [owner, other, third, owner, other, third];
  t.ok((await sendReports(hosts, 'Before.')).every(({ status }) => status === 200));
  silence();
  const outcomes = await sendReports(hosts, 'On silent connections.');
  t.same(
    outcomes.map(formatOutcome),
    hosts.map(() => '200'),
  );
  const id = await acquireRequestId(owner);
  let silentAtMs = 0;
  const pendingOutcome = sendLongReport(owner.url, id, () => {
    silence();
    silentAtMs = performance.now();
  });
  await waitForAll([owner], 'the first part', async () => silentAtMs > 0);
  const meanwhile = await sendReports(hosts, 'Beside the silent answer.');
  t.ok(meanwhile.every(({ status }) => status === 200));
  const outcome = await pendingOutcome;
  t.comment(`complete ${Math.round(performance.now() - silentAtMs)} ms after the silence`);
  t.equal(outcome.status, 200);
  t.equal(outcome.text, await readStream(outcome.headers));
  await assertSingleRuns(t, [id, ...outcomes.map(({ requestId }) => requestId)]);
});
