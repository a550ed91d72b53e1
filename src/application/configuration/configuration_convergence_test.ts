import fc from 'fast-check';
import t from 'tap';
import {
  buildContract,
  FIRM_A,
  startDeployment,
} from '../../../test/support/configuration_hosts.js';
import type { Deployment } from '../../../test/support/configuration_hosts.js';

const IDS = ['a', 'b', 'c', 'd'];

/** What may happen to a deployment; the numbers pick hosts. */
interface Action {
  readonly kind: string;
  readonly one: number;
  readonly other: number;
  readonly thenMs: number;
}

const actions: fc.Arbitrary<Action[]> = fc.array(
  fc.record({
    kind: fc.constantFrom(
      ...['publish', 'publish', 'spoil', 'freeze', 'thaw', 'down', 'up'],
      ...['cutReader', 'healReader', 'cutLink', 'silenceLink', 'healLink', 'restart'],
    ),
    one: fc.nat(IDS.length - 1),
    other: fc.nat(IDS.length - 1),
    thenMs: fc.constantFrom(0, 100, 700, 3000),
  }),
  { minLength: 5, maxLength: 25 },
);

async function runAction(deployment: Deployment, action: Action, weight: number): Promise<void> {
  const { service, hub, hosts } = deployment;
  const one = IDS[action.one] ?? 'a';
  const other = IDS[action.other] ?? 'a';
  const effects: Readonly<Record<string, () => unknown>> = {
    publish: () => service.publish(FIRM_A, buildContract(weight)),
    spoil: () => service.publish(FIRM_A, 'spoilt'),
    freeze: () => service.freeze(),
    thaw: () => service.thaw(),
    down: () => service.setDown(true),
    up: () => service.setDown(false),
    cutReader: () => hosts.get(one)?.reader.setCut(true),
    healReader: () => hosts.get(one)?.reader.setCut(false),
    cutLink: () => one !== other && hub.cut(one, other),
    silenceLink: () => one !== other && hub.silence(one, other),
    healLink: () => hub.heal(one, other),
    restart: async () => {
      await deployment.stop(one);
      deployment.start(one);
    },
  };
  await effects[action.kind]?.();
  await deployment.advance(action.thenMs);
}

t.test('ConfigurationKeepers never go back and all converge', async (t) => {
  await fc.assert(
    fc.asyncProperty(actions, async (taken) => {
      const deployment = await startDeployment(IDS);
      const started = [...deployment.hosts.values()];
      let weight = 1;
      for (const action of taken) {
        weight += 1;
        await runAction(deployment, action, weight);
        started.push(...deployment.hosts.values());
      }
      deployment.service.thaw();
      deployment.service.setDown(false);
      deployment.hosts.forEach(({ reader }) => reader.setCut(false));
      deployment.hub.healAll();
      deployment.service.publish(FIRM_A, buildContract(weight + 1));
      await deployment.advance(6000);
      const weights = deployment.listWeights();
      await deployment.close();
      started.forEach((host) => {
        const isRising = host.weights.every((each, at) => each >= (host.weights[at - 1] ?? 0));
        if (!isRising) throw new Error(`went back: ${host.weights.join(', ')}`);
      });
      if (weights.some((each) => each !== weight + 1)) throw new Error(`apart: ${weights.join()}`);
    }),
    { seed: 42, numRuns: 60 },
  );
  t.pass();
});
