import t from 'tap';
import { FakeMetrics } from '../../../test/support/fakes.js';
import {
  FakePeerHub,
  FakePeerNetwork,
  buildIdentity,
} from '../../../test/support/fake_peer_network.js';
import { settle, VirtualClock } from '../../../test/support/virtual_clock.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { parseSoftwareVersion } from '../../domain/streams/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import { KEYS_PER_STEP } from './_key_steps.js';
import { StreamOrigins } from './mod.js';

const HOLDER_COUNT = 12;

const STREAM_COUNT = 3 * KEYS_PER_STEP;

const COPIES = 4;

/** Holders of records, and how often their names were read. */
function createHolders(reads: { count: number }): readonly EntryHostIdentity[] {
  return Array.from({ length: HOLDER_COUNT }, (_, index) => {
    const name = `entry-${index}`;
    const identity = { ...buildIdentity(name, `${name}/1`), keepsStreamOrigins: true };
    Object.defineProperty(identity, 'id', {
      get: () => {
        Object.assign(reads, { count: reads.count + 1 });
        return name;
      },
    });
    return identity;
  });
}

/** A host that began many streams of one version, and told nobody. */
async function beginStreams() {
  const [clock, hub, reads] = [new VirtualClock(), new FakePeerHub(), { count: 0 }];
  const peers = new FakePeerNetwork(hub, buildIdentity('one', 'one/1'));
  const holders = createHolders(reads);
  holders.forEach((identity) =>
    new FakePeerNetwork(hub, identity).handle(PeerMessageType.StreamOrigins, () => undefined),
  );
  const service = { hasOneVersion: true };
  const origins = new StreamOrigins({
    clock,
    metrics: new FakeMetrics(),
    peers,
    isRelay: () => true,
    isMember: () => false,
    getLifeMs: () => 30_000,
    mustTell: () => !service.hasOneVersion,
    copies: COPIES,
  });
  // Each link that opens has what its peer keeps sent a moment later.
  await clock.advance(1_000);
  const version = parseSoftwareVersion('v1');
  for (let index = 0; index < STREAM_COUNT; index += 1)
    origins.record([`stream-${index}`], { serviceId: 'engines', version });
  service.hasOneVersion = false;
  /** Keys that holders were told, one for each copy. */
  const listTold = (): readonly string[] =>
    hub.delivered.flatMap(({ message }) =>
      message.type === PeerMessageType.StreamOrigins ? message.keys : [],
    );
  return { clock, holders, hub, origins, peers, reads, listTold };
}

/** Guards against hosts that stand still as soon as servers run a second version. */
t.test('StreamOrigins tells of many streams in steps, each stream picked once', async (t) => {
  const { clock, origins, reads, listTold } = await beginStreams();
  reads.count = 0;
  origins.tellUntold();
  await settle();
  t.equal(listTold().length, KEYS_PER_STEP * COPIES);
  t.ok(reads.count < KEYS_PER_STEP, `${reads.count} reads of names`);
  await clock.advance(100);
  t.equal(listTold().length, STREAM_COUNT * COPIES);
  t.equal(new Set(listTold()).size, STREAM_COUNT);
});

/** Guards against a stream that waits behind those that are told of in steps. */
t.test('StreamOrigins tells of a stream that begins between two steps at once', async (t) => {
  const { origins, listTold } = await beginStreams();
  origins.tellUntold();
  origins.record(['late'], { serviceId: 'engines', version: parseSoftwareVersion('v1') });
  await settle();
  t.equal(listTold().filter((key) => key === 'late').length, COPIES);
});

/** Guards against a peer's new link that keeps calls waiting for a choice among all streams. */
t.test('StreamOrigins sends a new peer the streams that it keeps in steps', async (t) => {
  const { clock, holders, hub, origins, peers } = await beginStreams();
  origins.tellUntold();
  await clock.advance(100);
  hub.delivered.length = 0;
  peers.notifyLink({ peer: holders[0] as EntryHostIdentity, up: true });
  await clock.advance(1_000);
  const receivers = hub.delivered.map(({ to }) => to);
  t.same(
    receivers,
    Array.from({ length: STREAM_COUNT / KEYS_PER_STEP }, () => 'entry-0'),
  );
});
