/**
 * Planned stops of entry hosts under load, one after the other.
 *
 * @module
 */
import t from 'tap';
import { startFleet, waitUntil } from '../fleet/mod.js';
import { findViolations, TestCaller } from './_caller.js';

const ADDRESS_LIFETIME_MS = 1000;
const CALLER_COUNT = 6;
const MAX_TOKENS = 30;

t.test('planned stops of the entry hosts, one after the other, cut no request', async (t) => {
  // Guards against reports that break off when a host is replaced: the host is told to stop while
  // callers still hold its address. It must not close its listener before the lifetime of the
  // last address that it gave out has passed.
  const fleet = await startFleet({
    engineCount: 2,
    entryHostFlags: ['--keep-address-ms', String(ADDRESS_LIFETIME_MS)],
  });
  t.teardown(() => fleet.stop());
  const caller = new TestCaller(fleet.accounts[0]?.apiKey ?? '');
  const isDone = { value: false };

  /** Acts like a real caller: requests an address, uses it for its lifetime, then repeats. */
  const work = async (): Promise<void> => {
    let address = '';
    let validUntilMs = 0;
    while (!isDone.value) {
      const isAddressValid = performance.now() < validUntilMs;
      const url = isAddressValid ? address : (fleet.entryHosts[0]?.url ?? '');
      const assigned = await caller.send(url, { method: 'POST', path: '/v1/requests' });
      const assignment = JSON.parse(assigned.text) as {
        id: string;
        keepMs: number;
        entryHost: { url: string };
      };
      if (!isAddressValid) {
        address = assignment.entryHost.url;
        validUntilMs = performance.now() + assignment.keepMs;
      }
      await caller.sendReport(address, assignment.id, 'Report on the hall.', MAX_TOKENS);
    }
  };
  const working = Promise.all(Array.from({ length: CALLER_COUNT }, work));

  for (const host of fleet.entryHosts.slice(1)) {
    host.kill('SIGTERM');
    await host.waitForExit();
    t.equal(host.exitCode, 0, `${host.id} stops cleanly`);
    await host.restart();
  }
  isDone.value = true;
  await working;

  const reports = caller.outcomes.filter(
    (one) => one.requestId !== '' && one.text.includes('data:'),
  );
  t.ok(reports.length > CALLER_COUNT, `${reports.length} reports were sent during the stops`);
  t.same(
    caller.outcomes.filter((one) => one.status !== 200),
    [],
    'every call is answered',
  );
  t.ok(
    reports.every((one) => one.text.includes('[DONE]')),
    'every report is complete',
  );
  t.same(findViolations(caller.outcomes, await fleet.readRuns()), []);
});

t.test('a stopping entry host serves callers until the lifetime of its address ends', async (t) => {
  // Guards against refused connections in a planned stop of an idle entry host: a caller gets the
  // address of the host, the idle host is told to stop, and then the caller connects. The host
  // must not exit as soon as it is idle.
  const fleet = await startFleet({
    engineCount: 1,
    entryHostFlags: ['--keep-address-ms', String(ADDRESS_LIFETIME_MS)],
  });
  t.teardown(() => fleet.stop());
  const caller = new TestCaller(fleet.accounts[0]?.apiKey ?? '');
  const [, host] = fleet.entryHosts;
  if (!host) throw new Error('the fleet is too small');
  const id = await caller.assign(fleet, host.url);
  host.kill('SIGTERM');
  await waitUntil(async () => host.output.includes('stop_started'), {
    subject: 'the begin of the stop',
    timeoutMs: 10_000,
  });
  await new Promise((resolve) => {
    setTimeout(resolve, ADDRESS_LIFETIME_MS / 2);
  });
  t.equal((await caller.sendReport(host.url, id, 'Report on the hall.')).status, 200);
  await host.waitForExit();
  t.equal(host.exitCode, 0);
});

t.test(
  'a second signal forces a stop at once, and the call is answered may_have_run',
  async (t) => {
    const fleet = await startFleet({ engineCount: 1 });
    t.teardown(() => fleet.stop());
    const caller = new TestCaller(fleet.accounts[0]?.apiKey ?? '');
    const [host] = fleet.entryHosts;
    if (!host) throw new Error('no entry host');
    const id = await caller.assign(fleet, host.url);
    let markStreaming = (): void => undefined;
    const streaming = new Promise<void>((resolve) => {
      markStreaming = resolve;
    });
    const pending = caller.send(host.url, {
      path: '/v1/chat/completions',
      requestId: id,
      workKind: 'report',
      body: {
        model: 'monsoon-draft',
        messages: [{ role: 'user', content: 'A long report.' }],
        max_tokens: 2000,
        stream: true,
      },
      onChunk: () => markStreaming(),
    });
    await streaming;
    host.kill('SIGTERM');
    await waitUntil(async () => host.output.includes('stop_started'), {
      subject: 'the begin of the stop',
      timeoutMs: 10_000,
    });
    host.kill('SIGTERM');
    await host.waitForExit();
    t.equal(host.exitCode, 1);
    const outcome = await pending;
    t.match(outcome.text, /entry_host_stopping/);
    t.match(outcome.text, /may_have_run/, 'not not_run, since the stream continues at the engine');
  },
);
