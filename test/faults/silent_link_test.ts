/**
 * Each kind of link goes silent without being closed, while new connections
 * work: something between the two ends has lost track of it.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { CallerClient } from '../../src/caller/mod.js';
import { CutProxy, LinkFault, MOULINET, startFleet } from '../fleet/mod.js';
import type { ContractDocument, EntryHost } from '../fleet/mod.js';
import { isLeavingAt, LIMIT_MS, readConfiguration, waitAll } from './_admin.js';
import { buildReport, findBroken, TestCaller } from './_caller.js';
import type { Outcome } from './_caller.js';

const FILE_LIMIT_MS = 180_000;
const CALLER_SILENCE_MS = 500;
const LONG_ANSWER_TOKENS = 150;

/** Leads callers to the first entry host, whose port is known later only. */
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

/** Asks until an entry host owns the ID that is given. */
async function assign(host: EntryHost): Promise<string> {
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const given = await caller.send(host.url, { method: 'POST', path: '/v1/requests' });
    const { id, entryHost } = JSON.parse(given.text) as { id: string; entryHost: { id: string } };
    if (entryHost.id === host.id) return id;
  }
  throw new Error(`Cannot get a request ID of ${host.id}`);
}

/** Reads the whole stream of an answer from the engine that ran it. */
async function readStream(headers: Outcome['headers']): Promise<string> {
  const server = fleet.findBackendServer(String(headers['backend-server']));
  const url = `${server.url}/v1/streams/${String(headers['stream-id'])}?offset=0`;
  return (await fetch(url)).text();
}

/** Sends short reports to entry hosts, each to its owner, and all at once. */
function sendMany(hosts: readonly EntryHost[], text: string): Promise<Outcome[]> {
  return Promise.all(
    hosts.map(async (host) => caller.sendReport(host.url, await assign(host), text)),
  );
}

/** @param told - what a caller was told. @returns it in a line */
function formatOutcome({ status, code, run }: Outcome): string {
  return status === 200 ? '200' : `${status} ${code} ${run}`;
}

/** Sends a long report and calls back inside its answer. */
function sendLong(url: string, id: string, onFirstPart: () => void): Promise<Outcome> {
  let partCount = 0;
  const onPart = (): void => {
    partCount += 1;
    if (partCount === 1) onFirstPart();
  };
  return caller.send(url, { ...buildReport(id, 'A long report.', LONG_ANSWER_TOKENS), onPart });
}

async function checkRuns(t: Test, ids: readonly string[]): Promise<void> {
  const runs = await fleet.readRuns();
  t.same(findBroken(caller.outcomes, runs), []);
  ids.forEach((id) => {
    t.equal(runs.filter(({ requestId }) => requestId === id).length, 1, 'it ran once');
  });
}

t.test("a caller's link: the answer is read on, once, over a new one", async (t) => {
  // Symptom: a surveyor waited for good in front of half a report. Sequence: the
  // connection lost its far end inside the answer, and nobody closed it. Cause:
  // the caller waited for bytes and never asked whether there were any.
  const client = new CallerClient({
    urls: [callersProxy.url],
    apiKey: caller.apiKey,
    silenceMs: CALLER_SILENCE_MS,
  });
  t.teardown(() => client.close());
  const { path, body, workKind } = buildReport('', 'A long report.', LONG_ANSWER_TOKENS);
  const call = { method: 'POST', path, body: JSON.stringify(body), workKind };
  const request = { ...call, signal: AbortSignal.timeout(LIMIT_MS) };
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
  t.comment(`whole ${Math.round(performance.now() - silentAtMs)} ms after the silence`);
  t.ok(reply.resumes > 0, `read on ${reply.resumes} times`);
  t.equal(Buffer.concat(parts).toString(), await readStream(reply.headers));
  await checkRuns(t, [reply.requestId]);

  callersProxy.setFault(LinkFault.SilentOld);
  const next = await client.send(request);
  t.equal(next.status, 200, 'a kept connection that has gone silent loses no call');
  await next.body[Symbol.asyncIterator]().next();
  await checkRuns(t, [next.requestId]);
});

t.test('peer links: an honest answer, new work goes on, links are replaced', async (t) => {
  // Symptom: calls through one entry host never ended, while both hosts ran.
  // Sequence: the link between them lost track of its ends while an answer was
  // passed on. Cause: only a closed socket counted as a lost link.
  const id = await assign(owner);
  let silentAtMs = 0;
  const told = sendLong(other.url, id, () => {
    fleet.entryHosts.forEach((host) => host.proxy?.setFault(LinkFault.SilentOld));
    silentAtMs = performance.now();
  });
  await waitAll([owner], 'the first part', async () => silentAtMs > 0);
  const meanwhile = await sendMany([owner, other, third], 'A report in the silence.');
  t.same(meanwhile.map(formatOutcome), ['200', '200', '200'], 'each owner answers its own calls');
  const outcome = await told;
  t.comment(`the call ended after ${Math.round(performance.now() - silentAtMs)} ms`);
  if (outcome.text.includes('[DONE]')) {
    t.equal(outcome.text, await readStream(outcome.headers), 'whole');
  } else t.match(outcome.text, /may_have_run/, 'or honest');
  const isLost = async (host: EntryHost): Promise<boolean> =>
    /event=peer_link_(silent|down)/.test(host.output);
  await waitAll(fleet.entryHosts, 'the silent links', isLost);
  let again: Outcome | undefined;
  await waitAll([owner], 'an answer over a new link', async () => {
    again = await caller.sendReport(other.url, await assign(owner), 'After the silence.');
    return again.status === 200;
  });
  t.comment(`passed on again after ${Math.round(performance.now() - silentAtMs)} ms`);
  await checkRuns(t, [id, again?.requestId ?? '']);
});

t.test('platform links: work goes on, and what was published gets in force', async (t) => {
  // Symptom: one entry host never heard of a new contract, and nothing was
  // logged. Sequence: its watch's connection lost track of its far end. Cause: a
  // watch may be silent for long, so nobody took silence for a fault.
  [fleet.configuration, fleet.hostList].forEach(({ proxy }) => {
    proxy?.setFault(LinkFault.SilentOld);
  });
  const silentAtMs = performance.now();
  const contract = MOULINET.contracts[0] as ContractDocument;
  const revision = await fleet.publishContract({ ...contract, weight: 9 });
  await fleet.setHostState('plain-1', 'leaving');
  const meanwhile = await sendMany([owner, other, third], 'A report without the platform.');
  t.same(meanwhile.map(formatOutcome), ['200', '200', '200']);
  await waitAll(
    fleet.entryHosts,
    'the new contract',
    async (host) => (await readConfiguration(host)).revision >= revision,
  );
  t.comment(`in force ${Math.round(performance.now() - silentAtMs)} ms after the silence`);
  await waitAll(fleet.entryHosts, 'the new host list', (host) => isLeavingAt(host, 'plain-1'));
  t.comment(`host list ${Math.round(performance.now() - silentAtMs)} ms after the silence`);
  await fleet.setHostState('plain-1', 'live');
  await waitAll(
    fleet.entryHosts,
    'the host list over the new link',
    async (host) => !(await isLeavingAt(host, 'plain-1')),
  );
  await checkRuns(t, []);
});

t.test('backend server links: a call on a silent one runs once, and whole', async (t) => {
  // Symptom: a report that was billed twice, or never came. Sequence: kept
  // connections to an engine lost track of their far end; a call was sent on one
  // of them, and another one was inside its answer. Cause: the body left before
  // the engine had shown that it was there, or the silence never ended.
  const silence = (): void => {
    fleet.backendServers.forEach(({ proxy }) => proxy?.setFault(LinkFault.SilentOld));
  };
  const hosts = [owner, other, third, owner, other, third];
  t.ok((await sendMany(hosts, 'Before.')).every(({ status }) => status === 200));
  silence();
  const onSilent = await sendMany(hosts, 'On silent connections.');
  t.same(
    onSilent.map(formatOutcome),
    hosts.map(() => '200'),
  );
  const id = await assign(owner);
  let silentAtMs = 0;
  const told = sendLong(owner.url, id, () => {
    silence();
    silentAtMs = performance.now();
  });
  await waitAll([owner], 'the first part', async () => silentAtMs > 0);
  const meanwhile = await sendMany(hosts, 'Beside the silent answer.');
  t.ok(meanwhile.every(({ status }) => status === 200));
  const outcome = await told;
  t.comment(`whole ${Math.round(performance.now() - silentAtMs)} ms after the silence`);
  t.equal(outcome.status, 200);
  t.equal(outcome.text, await readStream(outcome.headers));
  await checkRuns(t, [id, ...onSilent.map(({ requestId }) => requestId)]);
});
