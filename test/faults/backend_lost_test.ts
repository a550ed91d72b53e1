/**
 * Backend servers refuse, fall silent and die; what callers are told is
 * compared with what the backend servers recorded.
 *
 * @module
 */
import t from 'tap';
import { startFleet } from '../fleet/mod.js';
import type { BackendFault } from '../fleet/mod.js';
import { findBroken, TestCaller } from './_caller.js';

interface FaultCase {
  readonly name: string;
  readonly fault: BackendFault;
  /** Calls that must be answered whole, of those sent. */
  readonly isAnswered: boolean;
}

/** One of two engines is faulty; in the last case both are. */
const CASES: readonly FaultCase[] = [
  { name: 'refuses before the body', fault: { kind: 'refuse' }, isAnswered: true },
  { name: 'is silent', fault: { kind: 'silent' }, isAnswered: true },
  {
    name: 'is silent on old connections',
    fault: { kind: 'silent', oldConnectionsOnly: true },
    isAnswered: true,
  },
  { name: 'never answers 100', fault: { kind: 'no-continue' }, isAnswered: true },
  { name: 'dies inside its answer', fault: { kind: 'die-midway', factor: 300 }, isAnswered: false },
];

const CALLS = 8;

t.test('a faulty engine doubles nothing, and no refusal lies about it', async (t) => {
  const fleet = await startFleet({ engineCount: 2 });
  t.teardown(() => fleet.stop());
  const caller = new TestCaller(fleet.accounts[0]?.apiKey ?? '');
  const urls = fleet.entryHosts.map((host) => host.url);
  const sendAll = (name: string): Promise<number[]> =>
    Promise.all(
      Array.from({ length: CALLS }, async (_, at) => {
        const url = urls[at % urls.length] ?? '';
        const given = await caller.send(url, { method: 'POST', path: '/v1/requests' });
        const { id } = JSON.parse(given.text) as { id: string };
        return (await caller.sendReport(url, id, `${name} ${at}`)).status;
      }),
    );

  t.same(new Set(await sendAll('sound')), new Set([200]));
  for (const { name, fault, isAnswered } of CASES) {
    await fleet.setFault('engine-1', fault);
    const statuses = await sendAll(name);
    const answered = statuses.filter((status) => status === 200).length;
    t.equal(
      isAnswered ? answered : CALLS,
      CALLS,
      `with an engine that ${name}: ${answered} answered`,
    );
    t.same(findBroken(caller.outcomes, await fleet.readRuns()), [], name);
    await fleet.setFault('engine-1', { kind: 'none' });
  }
});

t.test(
  'both engines refuse: each caller is told at once, truly, and when to come back',
  async (t) => {
    const fleet = await startFleet({ engineCount: 2 });
    t.teardown(() => fleet.stop());
    const caller = new TestCaller(fleet.accounts[0]?.apiKey ?? '');
    await fleet.setFault('engine-1', { kind: 'refuse' });
    await fleet.setFault('engine-2', { kind: 'refuse' });
    const url = fleet.entryHosts[0]?.url ?? '';
    const given = await caller.send(url, { method: 'POST', path: '/v1/requests' });
    const { id } = JSON.parse(given.text) as { id: string };
    const told = await caller.sendReport(url, id, 'Report on the hall.');
    t.equal(told.status, 503);
    t.equal(told.run, 'not_run');
    t.ok(Number(told.headers['retry-after']) >= 1);
    t.equal((await fleet.readRuns()).length, 0);
  },
);
