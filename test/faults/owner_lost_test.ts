/**
 * The entry host that owns a request is killed, frozen or restarted.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { startFleet } from '../fleet/mod.js';
import type { EntryHost, Fleet, FleetOptions } from '../fleet/mod.js';
import { buildReport, findViolations, TestCaller } from './_caller.js';
import type { Outcome } from './_caller.js';

const ID_LIFETIME_MS = 1500;

/** A fleet, a caller, the entry host that owns the caller's request, and another entry host. */
interface Setup {
  readonly fleet: Fleet;
  readonly caller: TestCaller;
  readonly owner: EntryHost;
  readonly other: EntryHost;
}

async function startSetup(t: Test, options: FleetOptions = {}): Promise<Setup> {
  const fleet = await startFleet({ engineCount: 2, ...options });
  t.teardown(() => fleet.stop());
  const [owner, other] = fleet.entryHosts;
  const [account] = fleet.accounts;
  if (!owner || !other || !account) throw new Error('the fleet is too small');
  return { fleet, caller: new TestCaller(account.apiKey), owner, other };
}

/** Reads the complete response stream from the engine that ran the request. */
async function readStream(fleet: Fleet, outcome: Outcome): Promise<string> {
  const server = fleet.findBackendServer(String(outcome.headers['backend-server']));
  const streamId = String(outcome.headers['stream-id']);
  return (await fetch(`${server.url}/v1/streams/${streamId}?offset=0`)).text();
}

t.test('a call whose owner is killed before dispatch is answered may_have_run', async (t) => {
  // Guards against a report that is billed twice: the owner of the ID dies before it has the
  // call, and the caller sends the call to another entry host. That entry host must not run the
  // call itself, since a copy could still wait at the owner.
  const { fleet, caller, owner, other } = await startSetup(t);
  const id = await caller.assign(fleet, owner.url);
  owner.kill('SIGKILL');
  await owner.waitForExit();
  const outcome = await caller.sendReport(other.url, id, 'Report on the hall.');
  t.equal(outcome.run, 'may_have_run');
  const runs = await fleet.readRuns();
  t.equal(runs.length, 0);
  t.same(findViolations(caller.outcomes, runs), []);
});

t.test('a stream whose owner is killed resumes from the engine without a second run', async (t) => {
  // Guards against a second run for the rest of a report: the owner dies after dispatch, within
  // the response. The stream must be resumed, not restarted.
  const { fleet, caller, owner, other } = await startSetup(t);
  const id = await caller.assign(fleet, owner.url);
  let markStreaming = (): void => undefined;
  const streaming = new Promise<void>((resolve) => {
    markStreaming = resolve;
  });
  const report = buildReport(id, 'Report on the stairs.', 40);
  const pending = caller.send(other.url, { ...report, onChunk: () => markStreaming() });
  await streaming;
  owner.kill('SIGKILL');
  const outcome = await pending;
  t.equal(outcome.status, 200);
  t.match(outcome.text, /\[DONE\]/, 'the caller gets the complete response');
  const engineText = await readStream(fleet, outcome);
  t.equal(outcome.text, engineText, 'no part is missing or repeated');
  const copy = await caller.sendReport(other.url, id, 'Report on the stairs.', 40);
  t.equal(copy.run, 'may_have_run');
  const runs = await fleet.readRuns();
  t.equal(runs.length, 1);
  t.same(findViolations(caller.outcomes, runs), []);
});

t.test(
  'a response whose owner was killed is resumed by another entry host from hints',
  async (t) => {
    const { fleet, caller, owner, other } = await startSetup(t);
    const id = await caller.assign(fleet, owner.url);
    const complete = await caller.sendReport(owner.url, id, 'Report on the roof.');
    owner.kill('SIGKILL');
    await owner.waitForExit();
    const hints = new URLSearchParams({
      offset: '50',
      backendServer: String(complete.headers['backend-server']),
      streamId: String(complete.headers['stream-id']),
    });
    const rest = await caller.send(other.url, {
      path: `/v1/requests/${id}?${hints.toString()}`,
      method: 'GET',
    });
    t.equal(rest.text, complete.text.slice(50));
    t.equal((await fleet.readRuns()).length, 1);
  },
);

t.test('an owner restarted at the same address does not run a repeated call', async (t) => {
  // Guards against a report that runs again after a restart: the report runs, the owner dies and
  // restarts at the same address, and the caller repeats the call. A process with the same
  // address must not be taken for the owner, whose memory is lost.
  const { fleet, caller, owner, other } = await startSetup(t);
  const id = await caller.assign(fleet, owner.url);
  await caller.sendReport(owner.url, id, 'Report on the cellar.');
  await owner.restart();
  const outcomes = await Promise.all([
    caller.sendReport(owner.url, id, 'Report on the cellar.'),
    caller.sendReport(other.url, id, 'Report on the cellar.'),
  ]);
  t.same(
    outcomes.map((outcome) => outcome.run),
    ['may_have_run', 'may_have_run'],
  );
  const runs = await fleet.readRuns();
  t.equal(runs.length, 1);
  t.same(findViolations(caller.outcomes, runs), []);
});

t.test('an owner that resumes after the request ID expired dispatches no old call', async (t) => {
  // Guards against a report that runs minutes after its caller was told may_have_run: the owner
  // is frozen with the call in its socket, the ID expires, and the owner resumes. It must not act
  // on its state from before the pause.
  const { fleet, caller, owner, other } = await startSetup(t, {
    entryHostFlags: ['--request-id-lifetime-ms', String(ID_LIFETIME_MS)],
  });
  const id = await caller.assign(fleet, owner.url);
  owner.kill('SIGSTOP');
  const outcome = await caller.sendReport(other.url, id, 'Report on the attic.');
  t.equal(outcome.run, 'may_have_run', 'the caller is told once the owner is suspected');
  const expiry = new Promise((resolve) => {
    setTimeout(resolve, ID_LIFETIME_MS);
  });
  await expiry;
  owner.kill('SIGCONT');
  const late = await caller.sendReport(owner.url, id, 'Report on the attic.');
  t.equal(late.status, 410);
  const newId = await caller.assign(fleet, owner.url);
  t.equal((await caller.sendReport(owner.url, newId, 'Report on the loft.')).status, 200);
  const runs = await fleet.readRuns();
  t.same(
    runs.map((run) => run.requestId),
    [newId],
    'the resumed owner runs new calls, and not the old one',
  );
  t.same(findViolations(caller.outcomes, runs), []);
});

t.test('copies of a call that are sent to all entry hosts, twice, run once', async (t) => {
  const { fleet, caller, owner } = await startSetup(t);
  const ids = await Promise.all(Array.from({ length: 6 }, () => caller.assign(fleet, owner.url)));
  const sendAll = async (): Promise<void> => {
    const copies = ids.flatMap((id) =>
      fleet.entryHosts.map((host) => caller.sendReport(host.url, id, `Report ${id.slice(-4)}.`)),
    );
    const outcomes = await Promise.all(copies);
    t.ok(outcomes.every((outcome) => outcome.status === 200));
  };
  await sendAll();
  await sendAll();
  const runs = await fleet.readRuns();
  t.equal(runs.length, ids.length);
  t.same(findViolations(caller.outcomes, runs), []);
});
