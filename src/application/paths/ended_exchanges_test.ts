import { setImmediate } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import t from 'tap';
import { FakeBackend, FakeProbe } from '../../../test/support/direct_ends.js';
import {
  buildIdentity,
  FakePeerHub,
  FakePeerNetwork,
} from '../../../test/support/fake_peer_network.js';
import { FakeLog, FakeMetrics } from '../../../test/support/fakes.js';
import { settle, VirtualClock } from '../../../test/support/virtual_clock.js';
import { PeerMessageType } from '../../ports/mod.js';
import { ServerPaths } from '../../domain/paths/mod.js';
import { OwnReach } from './own_reach.js';
import { ProxyServer } from './proxy_server.js';

const REQUEST_COUNT = 20;

/** Frees what nothing refers to. */
function collectGarbage(): void {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
}

/** Sends a request through a peer. */
function sendBody(asker: FakePeerNetwork, exchangeId: number): void {
  const body = new Uint8Array(1_000);
  asker.send('peer-1', {
    type: PeerMessageType.ProxyRequest,
    exchangeId,
    request: {
      requestId: `r-${exchangeId}`,
      method: 'POST',
      target: '/a/1',
      headers: [],
      body,
      address: '10.0.0.1:80',
      serverId: 's-1',
      incarnationId: 's-1',
      accountId: undefined,
      deadlineMs: 1_000,
      lastEventId: undefined,
      urgency: 0,
    },
  });
}

/** @returns the bodies that have arrived, as long as anything keeps them */
function listBodies({ delivered }: FakePeerHub): WeakRef<Uint8Array>[] {
  return delivered.flatMap(({ message }) =>
    message.type === PeerMessageType.ProxyRequest ? [new WeakRef(message.request.body)] : [],
  );
}

t.test('a request of a peer that has ended keeps its answer, not its body', async (t) => {
  // Guards against a host that runs out of memory with the bodies of requests that it has answered.
  const hub = new FakePeerHub();
  const clock = new VirtualClock();
  const identity = { ...buildIdentity('asker'), resumesExchanges: true };
  const asker = new FakePeerNetwork(hub, identity);
  const probe = new FakeProbe();
  const server = new ProxyServer({
    peers: new FakePeerNetwork(hub, buildIdentity('peer')),
    clock,
    log: new FakeLog(),
    metrics: new FakeMetrics(),
    probe,
    ownReach: new OwnReach({ clock, probe, paths: new ServerPaths(), listServers: () => [] }),
    paths: new ServerPaths(),
    findIncarnation: () => undefined,
    checkServer: () => undefined,
    backend: new FakeBackend(),
    mayReceive: () => false,
    recordNotice: () => undefined,
  });
  for (let id = 1; id <= REQUEST_COUNT; id += 1) sendBody(asker, id);
  await settle();
  t.equal(server.exchangeCount, 0);
  t.equal(hub.delivered.length, 2 * REQUEST_COUNT, 'each request is answered');
  const bodies = listBodies(hub);
  hub.delivered.length = 0;
  asker.sent.length = 0;
  await setImmediate();
  collectGarbage();
  // The last one may still be in a register.
  const kept = bodies.filter((body) => body.deref() !== undefined).length;
  t.ok(kept <= 1, `${kept} bodies are kept`);
  server.stop();
});
