/**
 * Planned stops under load, one entry host after the other.
 *
 * @module
 */
import t from 'tap';
import { startFleet, waitUntil } from '../fleet/mod.js';
import { findBroken, TestCaller } from './_caller.js';

const KEEP_ADDRESS_MS = 1000;
const CALLERS = 6;
const MAX_TOKENS = 30;

t.test('a planned stop of each entry host in turn cuts no request', async (t) => {
  // Symptom: reports that broke off whenever a host was replaced. Sequence: the
  // host was told to stop while callers still held its address. Cause: it closed
  // its listener before the last address it had given out had run out.
  const fleet = await startFleet({
    engineCount: 2,
    entryHostFlags: ['--keep-address-ms', String(KEEP_ADDRESS_MS)],
  });
  t.teardown(() => fleet.stop());
  const caller = new TestCaller(fleet.accounts[0]?.apiKey ?? '');
  const isOver = { value: false };

  /** Works like a real caller: asks, keeps the address for its lifetime, goes on. */
  const work = async (): Promise<void> => {
    let address = '';
    let keptUntilMs = 0;
    while (!isOver.value) {
      const isKept = performance.now() < keptUntilMs;
      const asked = isKept ? address : (fleet.entryHosts[0]?.url ?? '');
      const given = await caller.send(asked, { method: 'POST', path: '/v1/requests' });
      const assignment = JSON.parse(given.text) as {
        id: string;
        keepMs: number;
        entryHost: { url: string };
      };
      if (!isKept) {
        address = assignment.entryHost.url;
        keptUntilMs = performance.now() + assignment.keepMs;
      }
      await caller.sendReport(address, assignment.id, 'Report on the hall.', MAX_TOKENS);
    }
  };
  const working = Promise.all(Array.from({ length: CALLERS }, work));

  for (const host of fleet.entryHosts.slice(1)) {
    host.kill('SIGTERM');
    await host.waitExit();
    t.equal(host.exitCode, 0, `${host.id} stops cleanly`);
    await host.restart();
  }
  isOver.value = true;
  await working;

  const reports = caller.outcomes.filter(
    (one) => one.requestId !== '' && one.text.includes('data:'),
  );
  t.ok(reports.length > CALLERS, `${reports.length} reports were asked for meanwhile`);
  t.same(
    caller.outcomes.filter((one) => one.status !== 200),
    [],
    'every call is answered',
  );
  t.ok(
    reports.every((one) => one.text.includes('[DONE]')),
    'and whole',
  );
  t.same(findBroken(caller.outcomes, await fleet.readRuns()), []);
});

t.test('a caller that comes late, yet within its address’s life, is served', async (t) => {
  // Symptom: connections refused in a planned stop of an idle entry host.
  // Sequence: a caller was given its address, the host was told to stop and had
  // nothing to do, the caller connected. Cause: it ended as soon as it was idle.
  const fleet = await startFleet({
    engineCount: 1,
    entryHostFlags: ['--keep-address-ms', String(KEEP_ADDRESS_MS)],
  });
  t.teardown(() => fleet.stop());
  const caller = new TestCaller(fleet.accounts[0]?.apiKey ?? '');
  const [, host] = fleet.entryHosts;
  if (!host) throw new Error('the fleet is too small');
  const id = await caller.assign(fleet, host.url);
  host.kill('SIGTERM');
  await waitUntil(async () => host.output.includes('stop_started'), {
    subject: 'the begin of the stop',
    limitMs: 10_000,
  });
  await new Promise((resolve) => {
    setTimeout(resolve, KEEP_ADDRESS_MS / 2);
  });
  t.equal((await caller.sendReport(host.url, id, 'Report on the hall.')).status, 200);
  await host.waitExit();
  t.equal(host.exitCode, 0);
});

t.test('a second signal ends a stop at once, with an honest answer', async (t) => {
  const fleet = await startFleet({ engineCount: 1 });
  t.teardown(() => fleet.stop());
  const caller = new TestCaller(fleet.accounts[0]?.apiKey ?? '');
  const [host] = fleet.entryHosts;
  if (!host) throw new Error('no entry host');
  const id = await caller.assign(fleet, host.url);
  let noteStreaming = (): void => undefined;
  const isStreaming = new Promise<void>((resolve) => {
    noteStreaming = resolve;
  });
  const sent = caller.send(host.url, {
    path: '/v1/chat/completions',
    requestId: id,
    workKind: 'report',
    body: {
      model: 'monsoon-draft',
      messages: [{ role: 'user', content: 'A long report.' }],
      max_tokens: 2000,
      stream: true,
    },
    onPart: () => noteStreaming(),
  });
  await isStreaming;
  host.kill('SIGTERM');
  await waitUntil(async () => host.output.includes('stop_started'), {
    subject: 'the begin of the stop',
    limitMs: 10_000,
  });
  host.kill('SIGTERM');
  await host.waitExit();
  t.equal(host.exitCode, 1);
  const told = await sent;
  t.match(told.text, /entry_host_stopping/);
  t.match(told.text, /may_have_run/, 'the stream goes on at the engine: nobody says not_run');
});
