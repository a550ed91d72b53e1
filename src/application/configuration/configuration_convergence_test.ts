import fc from 'fast-check';
import t from 'tap';
import {
  buildContract,
  FIRM_A_KEY,
  startDeployment,
} from '../../../test/support/configuration_hosts.js';
import type { Deployment } from '../../../test/support/configuration_hosts.js';

const IDS = ['a', 'b', 'c', 'd'];

/** One random event in a deployment; the indexes select entry hosts. */
interface Action {
  readonly kind: string;
  readonly hostIndex: number;
  readonly peerIndex: number;
  readonly delayMs: number;
}

const actions: fc.Arbitrary<Action[]> = fc.array(
  fc.record({
    kind: fc.constantFrom(
      ...['publish', 'publish', 'spoil', 'freeze', 'thaw', 'down', 'up'],
      ...['cutReader', 'healReader', 'cutLink', 'silenceLink', 'healLink', 'restart'],
    ),
    hostIndex: fc.nat(IDS.length - 1),
    peerIndex: fc.nat(IDS.length - 1),
    delayMs: fc.constantFrom(0, 100, 700, 3000),
  }),
  { minLength: 5, maxLength: 25 },
);

async function runAction(deployment: Deployment, action: Action, weight: number): Promise<void> {
  const { service, hub, hosts } = deployment;
  const hostId = IDS[action.hostIndex] ?? 'a';
  const peerId = IDS[action.peerIndex] ?? 'a';
  const effects: Readonly<Record<string, () => unknown>> = {
    publish: () => service.publish(FIRM_A_KEY, buildContract(weight)),
    spoil: () => service.publish(FIRM_A_KEY, 'spoilt'),
    freeze: () => service.freeze(),
    thaw: () => service.thaw(),
    down: () => service.setDown(true),
    up: () => service.setDown(false),
    cutReader: () => hosts.get(hostId)?.reader.setCut(true),
    healReader: () => hosts.get(hostId)?.reader.setCut(false),
    cutLink: () => hostId !== peerId && hub.cut(hostId, peerId),
    silenceLink: () => hostId !== peerId && hub.silence(hostId, peerId),
    healLink: () => hub.heal(hostId, peerId),
    restart: async () => {
      await deployment.stop(hostId);
      deployment.start(hostId);
    },
  };
  await effects[action.kind]?.();
  await deployment.advance(action.delayMs);
}

t.test('ConfigurationReplicas never revert an entry and all converge', async (t) => {
  await fc.assert(
    fc.asyncProperty(actions, async (sequence) => {
      const deployment = await startDeployment(IDS);
      const started = [...deployment.hosts.values()];
      let weight = 1;
      for (const action of sequence) {
        weight += 1;
        await runAction(deployment, action, weight);
        started.push(...deployment.hosts.values());
      }
      deployment.service.thaw();
      deployment.service.setDown(false);
      deployment.hosts.forEach(({ reader }) => reader.setCut(false));
      deployment.hub.healAll();
      deployment.service.publish(FIRM_A_KEY, buildContract(weight + 1));
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
