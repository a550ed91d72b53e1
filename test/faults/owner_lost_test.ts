/**
 * The owner of a request dies, freezes, or starts anew, as processes do.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { startFleet } from '../fleet/mod.js';
import type { EntryHost, Fleet, FleetOptions } from '../fleet/mod.js';
import { buildReport, findBroken, TestCaller } from './_caller.js';
import type { Outcome } from './_caller.js';

const ID_LIFETIME_MS = 1500;

/** A fleet, a caller, the owner of its request and another entry host. */
interface Scene {
  readonly fleet: Fleet;
  readonly caller: TestCaller;
  readonly owner: EntryHost;
  readonly other: EntryHost;
}

async function startScene(t: Test, options: FleetOptions = {}): Promise<Scene> {
  const fleet = await startFleet({ engineCount: 2, ...options });
  t.teardown(() => fleet.stop());
  const [owner, other] = fleet.entryHosts;
  const [account] = fleet.accounts;
  if (!owner || !other || !account) throw new Error('the fleet is too small');
  return { fleet, caller: new TestCaller(account.apiKey), owner, other };
}

/** Reads the whole stream of an answer from the engine that ran it. */
async function readStream(fleet: Fleet, told: Outcome): Promise<string> {
  const server = fleet.findBackendServer(String(told.headers['backend-server']));
  const streamId = String(told.headers['stream-id']);
  return (await fetch(`${server.url}/v1/streams/${streamId}?offset=0`)).text();
}

t.test('an owner killed before dispatch: copies may have run, and none runs', async (t) => {
  // Symptom: a report billed twice. Sequence: the owner of the ID died before it
  // had the call; the caller sent the call to another entry host. Cause: that
  // entry host ran it by itself, while a copy could still wait at the owner.
  const { fleet, caller, owner, other } = await startScene(t);
  const id = await caller.assign(fleet, owner.url);
  owner.kill('SIGKILL');
  await owner.waitExit();
  const told = await caller.sendReport(other.url, id, 'Report on the hall.');
  t.equal(told.run, 'may_have_run');
  const runs = await fleet.readRuns();
  t.equal(runs.length, 0);
  t.same(findBroken(caller.outcomes, runs), []);
});

t.test('an owner killed while it streams: the rest comes from the engine, once', async (t) => {
  // Symptom: half a report, and a second run for the other half. Sequence: the
  // owner died after dispatch, inside the answer. Cause: the stream was started
  // anew where it had to be resumed.
  const { fleet, caller, owner, other } = await startScene(t);
  const id = await caller.assign(fleet, owner.url);
  let noteStreaming = (): void => undefined;
  const isStreaming = new Promise<void>((resolve) => {
    noteStreaming = resolve;
  });
  const report = buildReport(id, 'Report on the stairs.', 40);
  const sent = caller.send(other.url, { ...report, onPart: () => noteStreaming() });
  await isStreaming;
  owner.kill('SIGKILL');
  const told = await sent;
  t.equal(told.status, 200);
  t.match(told.text, /\[DONE\]/, 'the caller gets the whole answer');
  const engineText = await readStream(fleet, told);
  t.equal(told.text, engineText, 'and no part twice or never');
  const copy = await caller.sendReport(other.url, id, 'Report on the stairs.', 40);
  t.equal(copy.run, 'may_have_run');
  const runs = await fleet.readRuns();
  t.equal(runs.length, 1);
  t.same(findBroken(caller.outcomes, runs), []);
});

t.test(
  'an owner killed after its answer: another entry host resumes it by the hints',
  async (t) => {
    const { fleet, caller, owner, other } = await startScene(t);
    const id = await caller.assign(fleet, owner.url);
    const whole = await caller.sendReport(owner.url, id, 'Report on the roof.');
    owner.kill('SIGKILL');
    await owner.waitExit();
    const hints = new URLSearchParams({
      offset: '50',
      backendServer: String(whole.headers['backend-server']),
      streamId: String(whole.headers['stream-id']),
    });
    const rest = await caller.send(other.url, {
      path: `/v1/requests/${id}?${hints.toString()}`,
      method: 'GET',
    });
    t.equal(rest.text, whole.text.slice(50));
    t.equal((await fleet.readRuns()).length, 1);
  },
);

t.test('an owner restarted at the same address knows nothing and runs nothing', async (t) => {
  // Symptom: a report ran again after a restart. Sequence: it ran, the owner
  // died and came back at the same address, the caller sent a copy. Cause: the
  // address was taken for the owner, whose memory had died with it.
  const { fleet, caller, owner, other } = await startScene(t);
  const id = await caller.assign(fleet, owner.url);
  await caller.sendReport(owner.url, id, 'Report on the cellar.');
  await owner.restart();
  const told = await Promise.all([
    caller.sendReport(owner.url, id, 'Report on the cellar.'),
    caller.sendReport(other.url, id, 'Report on the cellar.'),
  ]);
  t.same(
    told.map((outcome) => outcome.run),
    ['may_have_run', 'may_have_run'],
  );
  const runs = await fleet.readRuns();
  t.equal(runs.length, 1);
  t.same(findBroken(caller.outcomes, runs), []);
});

t.test('an owner frozen past the life of its ID dispatches nothing when it wakes', async (t) => {
  // Symptom: a report ran minutes after its caller had been told that nobody
  // can say. Sequence: the owner froze with the call in its socket, the ID ran
  // out, the owner woke. Cause: it acted on what it had known before.
  const { fleet, caller, owner, other } = await startScene(t, {
    entryHostFlags: ['--request-id-lifetime-ms', String(ID_LIFETIME_MS)],
  });
  const id = await caller.assign(fleet, owner.url);
  owner.kill('SIGSTOP');
  const told = await caller.sendReport(other.url, id, 'Report on the attic.');
  t.equal(told.run, 'may_have_run', 'the caller is told at once, when the owner is suspected');
  const expiry = new Promise((resolve) => {
    setTimeout(resolve, ID_LIFETIME_MS);
  });
  await expiry;
  owner.kill('SIGCONT');
  const late = await caller.sendReport(owner.url, id, 'Report on the attic.');
  t.equal(late.status, 410);
  const fresh = await caller.assign(fleet, owner.url);
  t.equal((await caller.sendReport(owner.url, fresh, 'Report on the loft.')).status, 200);
  const runs = await fleet.readRuns();
  t.same(
    runs.map((run) => run.requestId),
    [fresh],
    'the woken owner runs new calls, and not the old one',
  );
  t.same(findBroken(caller.outcomes, runs), []);
});

t.test('copies sent to all entry hosts at once, and again, run once', async (t) => {
  const { fleet, caller, owner } = await startScene(t);
  const ids = await Promise.all(Array.from({ length: 6 }, () => caller.assign(fleet, owner.url)));
  const sendAll = async (): Promise<void> => {
    const copies = ids.flatMap((id) =>
      fleet.entryHosts.map((host) => caller.sendReport(host.url, id, `Report ${id.slice(-4)}.`)),
    );
    const told = await Promise.all(copies);
    t.ok(told.every((outcome) => outcome.status === 200));
  };
  await sendAll();
  await sendAll();
  const runs = await fleet.readRuns();
  t.equal(runs.length, ids.length);
  t.same(findBroken(caller.outcomes, runs), []);
});
