import t from 'tap';
import { CONTRACT_KEY_PREFIX } from '../../domain/configuration/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import {
  buildContract,
  FIRM_A,
  HEARTBEAT_MS,
  PATIENCE_MS,
  startDeployment,
  WAIT_MS,
} from '../../../test/support/configuration_hosts.js';
import { MAX_BATCH_BYTES } from './_entry_batches.js';

t.test('ConfigurationKeeper loads from the service when no peer answers', async (t) => {
  const deployment = await startDeployment([]);
  const { keeper, weights } = deployment.start('a');
  await deployment.advance(PATIENCE_MS - 1);
  t.notOk(keeper.hasLoaded());
  t.equal(keeper.findAccount('firm-a'), undefined);
  await deployment.advance(1);
  t.ok(keeper.hasLoaded());
  t.ok(weights.length > 0);
  t.match(keeper.findAccountByKeyHash('0'.repeat(64)), { accountId: 'firm-a', weight: 1 });
  t.match(keeper.getStatus(), { revision: 3, platformIndex: 3, accountCount: 1, rejected: [] });
  await deployment.close();
});

t.test('ConfigurationKeeper asks peers before it trusts a stale service', async (t) => {
  // Symptom: after a restart one entry host works by an old contract.
  // Sequence: a contract changes, the service goes back to a stale state, one
  // host restarts and hears the service sooner than its peer. Cause: it took the
  // stale answer at its word.
  const deployment = await startDeployment(['a', 'b']);
  deployment.service.publish(FIRM_A, buildContract(2));
  await deployment.advance(HEARTBEAT_MS);
  deployment.service.freeze(3);
  await deployment.stop('b');
  deployment.hub.silence('a', 'b');
  const restarted = deployment.start('b');
  await deployment.advance(HEARTBEAT_MS);
  deployment.hub.heal('a', 'b');
  await deployment.advance(PATIENCE_MS + 2 * WAIT_MS);
  t.same(restarted.weights, [2]);
  t.match(restarted.keeper.getStatus(), { revision: 4, platformIndex: 3 });
  t.ok(restarted.log.lines.some(({ event }) => event === 'configuration_service_behind'));
  await deployment.close();
});

t.test('ConfigurationKeeper takes no answer from a peer that has not loaded', async (t) => {
  // Symptom: as above, after two restarts at once. Sequence: b and c restart in a
  // stale spell, c reaches nobody but b. Cause: the empty answer of b, which knew
  // nothing itself yet, counted as "nothing newer".
  const deployment = await startDeployment(['a']);
  deployment.service.publish(FIRM_A, buildContract(2));
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
  await deployment.advance(2 * PATIENCE_MS);
  t.same(
    hosts.map(({ weights }) => weights),
    [[2], [2]],
  );
  await deployment.close();
});

t.test('ConfigurationKeeper loads from peers while the service is down', async (t) => {
  const deployment = await startDeployment(['a']);
  deployment.service.setDown(true);
  const restarted = deployment.start('b');
  await deployment.advance(PATIENCE_MS);
  t.ok(restarted.keeper.hasLoaded());
  t.same(restarted.weights, [1]);
  await deployment.close();
});

t.test('ConfigurationKeeper does not storm a service that is down or hurried', async (t) => {
  // Symptom: the shared service collapses under reads when it comes back.
  // Cause: each entry host retries in a tight loop.
  const deployment = await startDeployment(['a']);
  const { service } = deployment;
  const MINUTE_MS = 60_000;
  let before = service.readCount;
  await deployment.advance(MINUTE_MS);
  t.ok(service.readCount - before <= MINUTE_MS / WAIT_MS + 1, 'idle');
  before = service.readCount;
  service.setDown(true);
  await deployment.advance(MINUTE_MS);
  t.ok(service.readCount - before <= MINUTE_MS / 4000 + 4, 'down');
  before = service.readCount;
  service.setDown(false);
  for (let at = 1; at <= 200; at += 1) {
    service.publish(FIRM_A, buildContract(at));
    await deployment.advance(50);
  }
  t.ok(service.readCount - before <= 2 * 10 + 1, 'hurried');
  await deployment.advance(HEARTBEAT_MS);
  t.same(deployment.listWeights(), [200]);
  await deployment.close();
});

t.test('ConfigurationKeeper hears a change from the one host that reads the service', async (t) => {
  // Symptom: a contract is in force on some entry hosts only. Sequence: all but
  // one are cut from the service, or the service goes stale for them.
  const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
  const deployment = await startDeployment(ids);
  ids.slice(1).forEach((id) => deployment.hosts.get(id)?.reader.setCut(true));
  deployment.service.publish(FIRM_A, buildContract(2));
  await deployment.clock.advance(0);
  t.same(
    deployment.listWeights(),
    ids.map(() => 2),
  );
  deployment.service.publish(FIRM_A, undefined);
  await deployment.advance(HEARTBEAT_MS);
  t.same(
    deployment.listWeights(),
    ids.map(() => undefined),
  );
  await deployment.close();
});

t.test('ConfigurationKeeper makes up for lost news by heartbeats', async (t) => {
  // Symptom: one entry host keeps the old contract for good. Sequence: its link
  // is silent at the moment of the change, and it can't read the service.
  const deployment = await startDeployment(['a', 'b']);
  deployment.hosts.get('b')?.reader.setCut(true);
  deployment.hub.silence('a', 'b');
  deployment.service.publish(FIRM_A, buildContract(2));
  await deployment.advance(HEARTBEAT_MS);
  t.same(deployment.listWeights(), [2, 1]);
  deployment.hub.heal('a', 'b');
  await deployment.advance(2 * HEARTBEAT_MS);
  t.same(deployment.listWeights(), [2, 2]);
  await deployment.close();
});

t.test('ConfigurationKeeper limits how often it asks a peer that stays different', async (t) => {
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

t.test('ConfigurationKeeper tells few peers of a change, and all hear of it', async (t) => {
  // Symptom: each change costs every entry host a message to every other one.
  const ids = Array.from({ length: 60 }, (_, at) => `host-${at}`);
  const deployment = await startDeployment(ids);
  ids.slice(1).forEach((id) => deployment.hosts.get(id)?.reader.setCut(true));
  const network = deployment.hosts.get('host-0')?.network;
  const before = network?.sent.length ?? 0;
  deployment.service.publish(FIRM_A, buildContract(2));
  await deployment.clock.advance(0);
  t.equal((network?.sent.length ?? 0) - before, 16);
  await deployment.advance(4 * HEARTBEAT_MS);
  t.same(
    deployment.listWeights(),
    ids.map(() => 2),
  );
  await deployment.close();
});

t.test('ConfigurationKeeper splits a long answer, and loads from all of it', async (t) => {
  // Symptom: heartbeats are late behind one long message, and peers are suspected.
  const deployment = await startDeployment([]);
  for (let at = 0; at < 20; at += 1) {
    const document = buildContract(2, `firm-${at}`) + ' '.repeat(30_000);
    deployment.service.publish(`${CONTRACT_KEY_PREFIX}firm-${at}`, document);
  }
  deployment.start('a');
  await deployment.advance(PATIENCE_MS);
  deployment.service.setDown(true);
  const restarted = deployment.start('b');
  await deployment.advance(PATIENCE_MS);
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

t.test('ConfigurationKeeper settles operators who publish at once', async (t) => {
  const deployment = await startDeployment(['a', 'b']);
  deployment.hosts.get('b')?.reader.setCut(true);
  const other = `${CONTRACT_KEY_PREFIX}firm-b`;
  deployment.service.publish(FIRM_A, buildContract(2));
  deployment.service.publish(other, buildContract(5, 'firm-b'));
  deployment.service.publish(FIRM_A, buildContract(3));
  await deployment.advance(2 * HEARTBEAT_MS);
  t.same(deployment.listWeights(), [3, 3]);
  deployment.hosts.forEach(({ keeper }) => t.equal(keeper.findAccount('firm-b')?.weight, 5));
  await deployment.close();
});

t.test('ConfigurationKeeper keeps the last good document and says why', async (t) => {
  const deployment = await startDeployment(['a', 'b']);
  const bad = deployment.service.publish(FIRM_A, '{\n"account": 7}');
  await deployment.advance(HEARTBEAT_MS);
  t.same(deployment.listWeights(), [1, 1]);
  deployment.hosts.forEach(({ keeper, log }) => {
    const [rejected] = keeper.getStatus().rejected;
    t.match(rejected, { key: FIRM_A, revision: bad });
    t.ok(rejected?.reasons.some((reason) => reason.startsWith('line 2: account')));
    const lines = log.lines.filter(({ event }) => event === 'configuration_document_rejected');
    t.match(lines, [{ fields: { account: 'firm-a', revision: bad } }]);
  });
  // A restarted host sees only the bad one; peers have the last good.
  await deployment.stop('b');
  const restarted = deployment.start('b');
  await deployment.advance(PATIENCE_MS);
  t.same(restarted.weights, [1]);
  deployment.service.publish(FIRM_A, buildContract(3));
  await deployment.advance(HEARTBEAT_MS);
  t.same(deployment.listWeights(), [3, 3]);
  t.same(restarted.keeper.getStatus().rejected, []);
  await deployment.close();
});

t.test('ConfigurationKeeper never reverts when the service is put back', async (t) => {
  // Symptom: an old contract is in force again after the service was restored
  // from a backup, or what is published after it is not heard of.
  const deployment = await startDeployment(['a', 'b']);
  deployment.service.publish(FIRM_A, buildContract(2));
  await deployment.advance(HEARTBEAT_MS);
  deployment.service.restore(3);
  await deployment.advance(WAIT_MS);
  t.same(deployment.listWeights(), [2, 2]);
  // Index 4 is counted again, for another key.
  const other = `${CONTRACT_KEY_PREFIX}firm-b`;
  deployment.service.publish(other, buildContract(5, 'firm-b'));
  await deployment.advance(HEARTBEAT_MS);
  deployment.hosts.forEach(({ keeper }) => t.equal(keeper.findAccount('firm-b')?.weight, 5));
  deployment.service.publish(FIRM_A, buildContract(3));
  await deployment.advance(HEARTBEAT_MS);
  t.same(deployment.listWeights(), [3, 3]);
  await deployment.close();
});

t.test('ConfigurationKeepers agree on two documents of one revision', async (t) => {
  // Symptom: two entry hosts work by different contracts for good, and each has
  // the revision of the other. Sequence: the service is put back and counts an
  // index again, while b can neither read it nor reach a.
  const deployment = await startDeployment(['a', 'b']);
  deployment.service.publish(FIRM_A, buildContract(2));
  await deployment.advance(HEARTBEAT_MS);
  deployment.hub.cut('a', 'b');
  deployment.hosts.get('b')?.reader.setCut(true);
  let weight = 2;
  while (deployment.listWeights()[0] === 2) {
    weight += 1;
    deployment.service.restore(3);
    deployment.service.publish(FIRM_A, buildContract(weight));
    await deployment.advance(WAIT_MS);
  }
  t.same(deployment.listWeights(), [weight, 2]);
  deployment.hub.heal('a', 'b');
  await deployment.advance(6000);
  t.same(deployment.listWeights(), [weight, weight]);
  await deployment.close();
});

t.test('ConfigurationKeeper tells every handler, whatever one of them does', async (t) => {
  const deployment = await startDeployment([]);
  const { keeper, log } = deployment.start('a');
  let told = 0;
  keeper.onChange(() => {
    throw new Error('no');
  });
  keeper.onChange(() => {
    told += 1;
  });
  await deployment.advance(PATIENCE_MS);
  t.ok(told > 0);
  t.ok(log.lines.some(({ event }) => event === 'configuration_handler_failed'));
  await deployment.close();
});
