import fc from 'fast-check';
import t from 'tap';
import {
  HEALTHY_RESULT,
  buildDemand,
  buildSpecs,
  createGroup,
} from '../../../test/support/group_fixture.js';
import { ServiceKind } from '../contracts/types.js';
import type { Service } from '../contracts/types.js';
import { splitDispatchGroups, Tier } from './mod.js';

const PING = { tier: Tier.Urgent, promptTokens: 20, expectedOutputTokens: 5 };

function buildService(id: string, kind: ServiceKind): Service {
  const backendServers = ['1', '2', '3'].map((suffix) => ({
    id: `${id}-${suffix}`,
    serviceId: id,
    url: 'http://127.0.0.1:9000',
    engineKind: 'fast',
    availabilityZone: 'hall-a',
  }));
  const rest = { models: [], honoursContinue: true, checksOrders: true, dispatchGroupSize: 16 };
  return { id, kind, backendServers, ...rest };
}

t.test('splitDispatchGroups() puts no two services into the same group', async (t) => {
  // Guards against short requests of one service that queue behind long
  // requests of another while the engines are full, which happens if an entry
  // host has one queue for all services.
  const services = [
    buildService('monsoon-llm', ServiceKind.Model),
    buildService('case-app', ServiceKind.Plain),
  ];
  const groups = services.flatMap((service) => splitDispatchGroups(service));
  t.equal(new Set(groups.map(({ id }) => id)).size, groups.length);
  groups.forEach(({ serviceId, backendServers }) =>
    t.ok(backendServers.every((server) => server.serviceId === serviceId)),
  );
});

t.test('GroupScheduler never makes an urgent ping wait for long prompts', async (t) => {
  // Guards against urgent requests that take as long as batch requests because
  // long prompts of lower tiers fill every slot, with no slots reserved for the
  // tier above.
  const long = fc.record({
    tier: fc.constantFrom(Tier.Standard, Tier.Batch),
    promptTokens: fc.integer({ min: 500, max: 8000 }),
    expectedOutputTokens: fc.integer({ min: 100, max: 3000 }),
  });
  fc.assert(
    fc.property(fc.array(long, { minLength: 60, maxLength: 200 }), (prompts) => {
      const group = createGroup(buildSpecs(3, 16));
      prompts.forEach((prompt, index) => {
        group.submit(buildDemand(`long-${index}`, { ...prompt, deadlineAtMs: 10_000_000 }), index);
        group.run(index);
      });
      t.ok(group.waitingCount > 0, 'long prompts hold every slot that they may');
      // Two of the sixteen slots of each engine are reserved.
      for (let index = 0; index < 6; index += 1) {
        group.submit(buildDemand(`ping-${index}`, { ...PING, waitingSinceMs: 1_000 }), 1_000);
        const granted = group.run(1_000).map(({ demand }) => demand.key);
        t.same(granted, [`ping-${index}`]);
      }
    }),
    { seed: 42, numRuns: 30 },
  );
});

t.test('GroupScheduler lets long prompts run beside a stream of pings', async (t) => {
  const group = createGroup(buildSpecs(3, 8));
  const waits: number[] = [];
  for (let nowMs = 0; nowMs < 20_000; nowMs += 20) {
    group.submit(buildDemand(`ping-${nowMs}`, { ...PING, waitingSinceMs: nowMs }), nowMs);
    const long = { promptTokens: 6000, expectedOutputTokens: 100, waitingSinceMs: nowMs };
    if (nowMs % 1_000 === 0) group.submit(buildDemand(`long-${nowMs}`, long), nowMs);
    group.run(nowMs).forEach(({ demand }) => {
      if (demand.key.startsWith('long')) waits.push(nowMs - demand.waitingSinceMs);
    });
    group.pool
      .listHeld()
      .filter(({ grantedAtMs, workMs }) => nowMs - grantedAtMs >= workMs)
      .forEach(({ grantId, workMs, demand }) => {
        const outputTokens = demand.expectedOutputTokens;
        group.release(grantId, { ...HEALTHY_RESULT, totalMs: workMs, outputTokens }, nowMs);
      });
  }
  t.equal(waits.length, 20, 'all long prompts were granted');
  t.equal(Math.max(...waits), 0, 'without waiting');
});
