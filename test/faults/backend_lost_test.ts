/**
 * Backend servers that refuse calls, fall silent or crash: the outcomes that callers see are
 * compared with the runs that the backend servers recorded.
 *
 * @module
 */
import t from 'tap';
import { startFleet } from '../fleet/mod.js';
import type { BackendFault } from '../fleet/mod.js';
import { findViolations, TestCaller } from './_caller.js';

interface FaultCase {
  readonly name: string;
  readonly fault: BackendFault;
  /** Whether all calls must be answered in spite of the fault. */
  readonly mustAnswerAll: boolean;
}

/** Faults of one of two engines. */
const CASES: readonly FaultCase[] = [
  { name: 'refuses before the body', fault: { kind: 'refuse' }, mustAnswerAll: true },
  { name: 'is silent', fault: { kind: 'silent' }, mustAnswerAll: true },
  {
    name: 'is silent on old connections',
    fault: { kind: 'silent', oldConnectionsOnly: true },
    mustAnswerAll: true,
  },
  { name: 'never answers 100', fault: { kind: 'no-continue' }, mustAnswerAll: true },
  {
    name: 'dies within a response',
    fault: { kind: 'die-midway', factor: 300 },
    mustAnswerAll: false,
  },
];

const CALL_COUNT = 8;

t.test('a faulty engine causes no duplicate run and no false not_run', async (t) => {
  const fleet = await startFleet({ engineCount: 2 });
  t.teardown(() => fleet.stop());
  const caller = new TestCaller(fleet.accounts[0]?.apiKey ?? '');
  const urls = fleet.entryHosts.map((host) => host.url);
  const sendAll = (name: string): Promise<number[]> =>
    Promise.all(
      Array.from({ length: CALL_COUNT }, async (_, index) => {
        const url = urls[index % urls.length] ?? '';
        const assigned = await caller.send(url, { method: 'POST', path: '/v1/requests' });
        const { id } = JSON.parse(assigned.text) as { id: string };
        return (await caller.sendReport(url, id, `${name} ${index}`)).status;
      }),
    );

  t.same(new Set(await sendAll('sound')), new Set([200]));
  for (const { name, fault, mustAnswerAll: isAnswered } of CASES) {
    await fleet.setFault('engine-1', fault);
    const statuses = await sendAll(name);
    const answeredCount = statuses.filter((status) => status === 200).length;
    t.equal(
      isAnswered ? answeredCount : CALL_COUNT,
      CALL_COUNT,
      `with an engine that ${name}: ${answeredCount} answered`,
    );
    t.same(findViolations(caller.outcomes, await fleet.readRuns()), [], name);
    await fleet.setFault('engine-1', { kind: 'none' });
  }
});

t.test(
  'a call that both engines refuse is answered not_run with a Retry-After header',
  async (t) => {
    const fleet = await startFleet({ engineCount: 2 });
    t.teardown(() => fleet.stop());
    const caller = new TestCaller(fleet.accounts[0]?.apiKey ?? '');
    await fleet.setFault('engine-1', { kind: 'refuse' });
    await fleet.setFault('engine-2', { kind: 'refuse' });
    const url = fleet.entryHosts[0]?.url ?? '';
    const assigned = await caller.send(url, { method: 'POST', path: '/v1/requests' });
    const { id } = JSON.parse(assigned.text) as { id: string };
    const outcome = await caller.sendReport(url, id, 'Report on the hall.');
    t.equal(outcome.status, 503);
    t.equal(outcome.run, 'not_run');
    t.ok(Number(outcome.headers['retry-after']) >= 1);
    t.equal((await fleet.readRuns()).length, 0);
  },
);
