import t from 'tap';
import { CONTRACT_KEY_PREFIX } from '../../domain/configuration/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import {
  buildContract,
  FIRM_A_KEY,
  HEARTBEAT_MS,
  START_TIMEOUT_MS,
  startDeployment,
  WATCH_WAIT_MS,
} from '../../../test/support/configuration_hosts.js';
import { MAX_BATCH_BYTES } from './_entry_batches.js';

t.test('ConfigurationReplica loads from the service when no peer replies', async (t) => {
  const deployment = await startDeployment([]);
  const { keeper, weights } = deployment.start('a');
  await deployment.advance(START_TIMEOUT_MS - 1);
  t.notOk(keeper.hasLoaded());
  t.equal(keeper.findAccount('firm-a'), undefined);
  await deployment.advance(1);
  t.ok(keeper.hasLoaded());
  t.ok(weights.length > 0);
  t.match(keeper.findAccountByKeyHash('0'.repeat(64)), { accountId: 'firm-a', weight: 1 });
  t.match(keeper.getStatus(), { revision: 3, platformIndex: 3, accountCount: 1, rejected: [] });
  await deployment.close();
});

t.test('ConfigurationReplica asks peers before it relies on a stale service', async (t) => {
  // Guards against an entry host that applies an old contract after a restart: a
  // contract changes, the service returns to a stale state, one host restarts and
  // receives the service's answer before its peer's reply.
  const deployment = await startDeployment(['a', 'b']);
  deployment.service.publish(FIRM_A_KEY, buildContract(2));
  await deployment.advance(HEARTBEAT_MS);
  deployment.service.freeze(3);
  await deployment.stop('b');
  deployment.hub.silence('a', 'b');
  const restarted = deployment.start('b');
  await deployment.advance(HEARTBEAT_MS);
  deployment.hub.heal('a', 'b');
  await deployment.advance(START_TIMEOUT_MS + 2 * WATCH_WAIT_MS);
  t.same(restarted.weights, [2]);
  t.match(restarted.keeper.getStatus(), { revision: 4, platformIndex: 3 });
  t.ok(restarted.log.lines.some(({ event }) => event === 'configuration_service_behind'));
  await deployment.close();
});

t.test('ConfigurationReplica ignores peers that have not loaded', async (t) => {
  // Guards against an old contract after two restarts at once: b and c restart while
  // the service is stale, and c reaches b only. The empty reply of b, which has not
  // loaded itself, would count as a confirmation that nothing is newer.
  const deployment = await startDeployment(['a']);
  deployment.service.publish(FIRM_A_KEY, buildContract(2));
  await deployment.advance(HEARTBEAT_MS);
  deployment.service.freeze(3);
  deployment.hub.cut('a', 'c');
  deployment.hub.cut('a', 'b');
  const hosts = [deployment.start('b'), deployment.start('c')];
  await deployment.advance(HEARTBEAT_MS);
  t.same(
    hosts.map(({ keeper }) => keeper.hasLoaded()),
    [false, false],
  );
  deployment.hub.heal('a', 'b');
  await deployment.advance(2 * START_TIMEOUT_MS);
  t.same(
    hosts.map(({ weights }) => weights),
    [[2], [2]],
  );
  await deployment.close();
});

t.test('ConfigurationReplica loads from peers while the service is down', async (t) => {
  const deployment = await startDeployment(['a']);
  deployment.service.setDown(true);
  const restarted = deployment.start('b');
  await deployment.advance(START_TIMEOUT_MS);
  t.ok(restarted.keeper.hasLoaded());
  t.same(restarted.weights, [1]);
  await deployment.close();
});

t.test('ConfigurationReplica limits its reads of an idle, down or busy service', async (t) => {
  // Guards against overload of the shared service when it recovers, which happens if
  // each entry host retries in a tight loop.
  const deployment = await startDeployment(['a']);
  const { service } = deployment;
  const MINUTE_MS = 60_000;
  let before = service.readCount;
  await deployment.advance(MINUTE_MS);
  t.ok(service.readCount - before <= MINUTE_MS / WATCH_WAIT_MS + 1, 'idle');
  before = service.readCount;
  service.setDown(true);
  await deployment.advance(MINUTE_MS);
  t.ok(service.readCount - before <= MINUTE_MS / 4000 + 4, 'down');
  before = service.readCount;
  service.setDown(false);
  for (let at = 1; at <= 200; at += 1) {
    service.publish(FIRM_A_KEY, buildContract(at));
    await deployment.advance(50);
  }
  t.ok(service.readCount - before <= 2 * 10 + 1, 'hurried');
  await deployment.advance(HEARTBEAT_MS);
  t.same(deployment.listWeights(), [200]);
  await deployment.close();
});

t.test('ConfigurationReplica gets changes from the only peer that can read', async (t) => {
  // Guards against a contract that takes effect on some entry hosts only, which
  // happens if all but one are cut off from the service or read stale data.
  const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
  const deployment = await startDeployment(ids);
  ids.slice(1).forEach((id) => deployment.hosts.get(id)?.reader.setCut(true));
  deployment.service.publish(FIRM_A_KEY, buildContract(2));
  await deployment.clock.advance(0);
  t.same(
    deployment.listWeights(),
    ids.map(() => 2),
  );
  deployment.service.publish(FIRM_A_KEY, undefined);
  await deployment.advance(HEARTBEAT_MS);
  t.same(
    deployment.listWeights(),
    ids.map(() => undefined),
  );
  await deployment.close();
});

t.test('ConfigurationReplica recovers lost change messages by heartbeats', async (t) => {
  // Guards against an entry host that keeps the old contract permanently: its link is
  // silent at the moment of the change, and it can't read the service.
  const deployment = await startDeployment(['a', 'b']);
  deployment.hosts.get('b')?.reader.setCut(true);
  deployment.hub.silence('a', 'b');
  deployment.service.publish(FIRM_A_KEY, buildContract(2));
  await deployment.advance(HEARTBEAT_MS);
  t.same(deployment.listWeights(), [2, 1]);
  deployment.hub.heal('a', 'b');
  await deployment.advance(2 * HEARTBEAT_MS);
  t.same(deployment.listWeights(), [2, 2]);
  await deployment.close();
});

t.test('ConfigurationReplica limits its digests to a peer that stays different', async (t) => {
  const deployment = await startDeployment(['a', 'b']);
  const host = deployment.hosts.get('a');
  const before = host?.network.sent.length ?? 0;
  for (let at = 0; at < 100; at += 1) {
    host?.keeper.handlePeerRevision('b-2', 99, `${at}`);
    await deployment.clock.advance(100);
  }
  t.ok((host?.network.sent.length ?? 0) - before <= 10);
  await deployment.close();
});

t.test('ConfigurationReplica notifies few peers of a change, and all receive it', async (t) => {
  // Guards against changes that cost every entry host a message to every other one.
  const ids = Array.from({ length: 60 }, (_, at) => `host-${at}`);
  const deployment = await startDeployment(ids);
  ids.slice(1).forEach((id) => deployment.hosts.get(id)?.reader.setCut(true));
  const network = deployment.hosts.get('host-0')?.network;
  const before = network?.sent.length ?? 0;
  deployment.service.publish(FIRM_A_KEY, buildContract(2));
  await deployment.clock.advance(0);
  t.equal((network?.sent.length ?? 0) - before, 16);
  await deployment.advance(4 * HEARTBEAT_MS);
  t.same(
    deployment.listWeights(),
    ids.map(() => 2),
  );
  await deployment.close();
});

t.test('ConfigurationReplica splits a long reply and loads all of it', async (t) => {
  // Guards against suspected peers: one long message delays the heartbeats behind it.
  const deployment = await startDeployment([]);
  for (let at = 0; at < 20; at += 1) {
    const document = buildContract(2, `firm-${at}`) + ' '.repeat(30_000);
    deployment.service.publish(`${CONTRACT_KEY_PREFIX}firm-${at}`, document);
  }
  deployment.start('a');
  await deployment.advance(START_TIMEOUT_MS);
  deployment.service.setDown(true);
  const restarted = deployment.start('b');
  await deployment.advance(START_TIMEOUT_MS);
  t.equal(restarted.keeper.getStatus().accountCount, 21);
  const sizes = deployment.hub.delivered.flatMap(({ message }) =>
    message.type === PeerMessageType.ConfigurationEntries
      ? [message.entries.reduce((sum, { value }) => sum + (value?.length ?? 0), 0)]
      : [],
  );
  t.ok(Math.max(...sizes) <= MAX_BATCH_BYTES);
  t.ok(Math.max(...sizes) > 0);
  await deployment.close();
});

t.test('ConfigurationReplica converges when operators publish concurrently', async (t) => {
  const deployment = await startDeployment(['a', 'b']);
  deployment.hosts.get('b')?.reader.setCut(true);
  const other = `${CONTRACT_KEY_PREFIX}firm-b`;
  deployment.service.publish(FIRM_A_KEY, buildContract(2));
  deployment.service.publish(other, buildContract(5, 'firm-b'));
  deployment.service.publish(FIRM_A_KEY, buildContract(3));
  await deployment.advance(2 * HEARTBEAT_MS);
  t.same(deployment.listWeights(), [3, 3]);
  deployment.hosts.forEach(({ keeper }) => t.equal(keeper.findAccount('firm-b')?.weight, 5));
  await deployment.close();
});

t.test('ConfigurationReplica keeps the last valid document and reports why', async (t) => {
  const deployment = await startDeployment(['a', 'b']);
  const bad = deployment.service.publish(FIRM_A_KEY, '{\n"account": 7}');
  await deployment.advance(HEARTBEAT_MS);
  t.same(deployment.listWeights(), [1, 1]);
  deployment.hosts.forEach(({ keeper, log }) => {
    const [rejected] = keeper.getStatus().rejected;
    t.match(rejected, { key: FIRM_A_KEY, revision: bad });
    t.ok(rejected?.reasons.some((reason) => reason.startsWith('line 2: account')));
    const lines = log.lines.filter(({ event }) => event === 'configuration_document_rejected');
    t.match(lines, [{ fields: { account: 'firm-a', revision: bad } }]);
  });
  // A restarted host reads only the invalid document; peers have the last valid one.
  await deployment.stop('b');
  const restarted = deployment.start('b');
  await deployment.advance(START_TIMEOUT_MS);
  t.same(restarted.weights, [1]);
  deployment.service.publish(FIRM_A_KEY, buildContract(3));
  await deployment.advance(HEARTBEAT_MS);
  t.same(deployment.listWeights(), [3, 3]);
  t.same(restarted.keeper.getStatus().rejected, []);
  await deployment.close();
});

t.test('ConfigurationReplica never reverts when the service is restored', async (t) => {
  // Guards against an old contract that takes effect again after the service was
  // restored from a backup, and against missing changes published afterwards.
  const deployment = await startDeployment(['a', 'b']);
  deployment.service.publish(FIRM_A_KEY, buildContract(2));
  await deployment.advance(HEARTBEAT_MS);
  deployment.service.restore(3);
  await deployment.advance(WATCH_WAIT_MS);
  t.same(deployment.listWeights(), [2, 2]);
  // The restored service assigns index 4 again, to another key.
  const other = `${CONTRACT_KEY_PREFIX}firm-b`;
  deployment.service.publish(other, buildContract(5, 'firm-b'));
  await deployment.advance(HEARTBEAT_MS);
  deployment.hosts.forEach(({ keeper }) => t.equal(keeper.findAccount('firm-b')?.weight, 5));
  deployment.service.publish(FIRM_A_KEY, buildContract(3));
  await deployment.advance(HEARTBEAT_MS);
  t.same(deployment.listWeights(), [3, 3]);
  await deployment.close();
});

t.test('ConfigurationReplicas agree on two documents of one revision', async (t) => {
  // Guards against two entry hosts that apply different contracts permanently while
  // both have the same revision: the service is restored and assigns an index again,
  // while b can neither read it nor reach a.
  const deployment = await startDeployment(['a', 'b']);
  deployment.service.publish(FIRM_A_KEY, buildContract(2));
  await deployment.advance(HEARTBEAT_MS);
  deployment.hub.cut('a', 'b');
  deployment.hosts.get('b')?.reader.setCut(true);
  let weight = 2;
  while (deployment.listWeights()[0] === 2) {
    weight += 1;
    deployment.service.restore(3);
    deployment.service.publish(FIRM_A_KEY, buildContract(weight));
    await deployment.advance(WATCH_WAIT_MS);
  }
  t.same(deployment.listWeights(), [weight, 2]);
  deployment.hub.heal('a', 'b');
  await deployment.advance(6000);
  t.same(deployment.listWeights(), [weight, weight]);
  await deployment.close();
});

t.test('ConfigurationReplica calls every change handler even if one throws', async (t) => {
  const deployment = await startDeployment([]);
  const { keeper, log } = deployment.start('a');
  let callCount = 0;
  keeper.onChange(() => {
    throw new Error('no');
  });
  keeper.onChange(() => {
    callCount += 1;
  });
  await deployment.advance(START_TIMEOUT_MS);
  t.ok(callCount > 0);
  t.ok(log.lines.some(({ event }) => event === 'configuration_handler_failed'));
  await deployment.close();
});
