/**
 * Tests what a host concludes from peers that may be cut off too, whoever is linked to whom.
 *
 * @module
 */
import fc from 'fast-check';
import t from 'tap';
import { FakeBackend, FakeProbe } from '../../../test/support/direct_ends.js';
import {
  buildIdentity,
  FakePeerHub,
  FakePeerNetwork,
} from '../../../test/support/fake_peer_network.js';
import { FakeLog, FakeMetrics, SeededRandom } from '../../../test/support/fakes.js';
import { buildState } from '../../../test/support/host_states.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { ServerPaths } from '../../domain/paths/mod.js';
import { BackendFailure, Reachability } from '../../ports/mod.js';
import { HostPaths } from './mod.js';

const HOSTS = 6;

const SERVERS = 4;

const SETTLE_MS = 4_000;

/** Hosts that reach each server, and links between hosts; bits by host, and by pair of hosts. */
interface Topology {
  readonly reaching: readonly number[];
  readonly isLinked: readonly boolean[];
  readonly isSilent: boolean;
}

const topologies: fc.Arbitrary<Topology> = fc.record({
  reaching: fc.array(fc.nat(2 ** HOSTS - 1), { minLength: SERVERS, maxLength: SERVERS }),
  isLinked: fc.array(fc.boolean(), { minLength: HOSTS - 1, maxLength: HOSTS - 1 }),
  isSilent: fc.boolean(),
});

/** Plays requests of the first host to all servers, and returns what it concluded. */
async function play({ reaching, isLinked, isSilent }: Topology) {
  const clock = new VirtualClock();
  const hub = new FakePeerHub();
  const ids = Array.from({ length: HOSTS }, (_, index) => `h-${index}`);
  const reaches = (host: number, server: number): boolean =>
    Math.floor(Number(reaching[server]) / 2 ** host) % 2 === 1;
  const servers = reaching.map((_, index) => ({
    incarnationId: `s-${index}`,
    address: `s-${index}:80`,
  }));
  const hosts = ids.map((id, host) => {
    const probe = new FakeProbe();
    const lost = isSilent ? Reachability.Unknown : Reachability.Refused;
    servers.forEach(({ address }, server) => {
      if (!reaches(host, server)) probe.ended.set(address, lost);
    });
    probe.waitForResult = (result) =>
      new Promise((resolve) => {
        clock.setTimer(result === Reachability.Unknown ? 400 : 2, resolve);
      });
    const backend = new FakeBackend();
    backend.onSend = (exchange) => {
      const isReached = reaches(host, Number(exchange.request.serverId.slice(2)));
      Object.assign(exchange, { mayHaveBeenSent: isReached });
      clock.setTimer(isReached ? 20 : 2, () => {
        if (exchange.isCancelled) return;
        if (isReached) exchange.sendResponse();
        else exchange.fail(BackendFailure.NotSent);
      });
    };
    const paths = new ServerPaths();
    const hostPaths = new HostPaths({
      clock,
      random: new SeededRandom(host + 1),
      log: new FakeLog(),
      metrics: new FakeMetrics(),
      peers: new FakePeerNetwork(hub, buildIdentity(id)),
      availabilityZone: 'hall-a',
      probe,
      backend,
      paths,
      listHeard: () =>
        ids.filter((other) => other !== id).map((other) => buildState(buildIdentity(other))),
      mayReceive: () => true,
      isPaused: () => false,
      listServers: () => servers,
      recordNotice: () => undefined,
    });
    return { paths, hostPaths, backend };
  });
  isLinked.forEach((isUp, index) => {
    if (!isUp) hub.cut('h-0', `h-${index + 1}`);
  });
  const [host] = hosts as [(typeof hosts)[number]];
  const answered = new Set<number>();
  for (let elapsedMs = 0; elapsedMs < SETTLE_MS; elapsedMs += 200) {
    servers.forEach(({ incarnationId, address }, server) => {
      host.hostPaths.client.send(buildRequest(incarnationId, address), {
        onNotice: () => undefined,
        onHead: () => undefined,
        onBody: () => undefined,
        onComplete: () => elapsedMs > SETTLE_MS - 1_000 && answered.add(server),
        onFailure: () => undefined,
      });
    });
    await clock.advance(200);
  }
  await clock.advance(1_500);
  const linked = ids.flatMap((_, index) => (index > 0 && isLinked[index - 1] ? index : []));
  const isReachable = (server: number): boolean =>
    [0, ...linked].some((one) => reaches(one, server));
  return { host, answered, isReachable };
}

function buildRequest(incarnationId: string, address: string) {
  return {
    request: {
      requestId: 'r',
      method: 'GET',
      target: '/a/1',
      path: '/a/1',
      hostName: 'api.example',
      headers: [],
      body: Buffer.alloc(0),
      key: undefined,
      deadlineMs: undefined,
      lastEventId: undefined,
      work: { promptTokens: 0, outputTokens: 0 },
      isSized: false,
    },
    address,
    serverId: incarnationId,
    incarnationId,
    accountId: undefined,
    deadlineMs: 2_000,
    lastEventId: undefined,
    urgency: 0,
  };
}

t.test('a host reaches what it or a linked peer reaches, and concludes no more', async (t) => {
  // Guards against servers that are given up for the word of a peer that is cut off too.
  await fc.assert(
    fc.asyncProperty(topologies, async (topology) => {
      const { host, answered, isReachable } = await play(topology);
      const servers = topology.reaching.map((_, index) => index);
      const lost = servers.filter((server) => isReachable(server) && !answered.has(server));
      const untrue = servers.filter((server) => !isReachable(server) && answered.has(server));
      const isNoneTrue = !host.paths.isNoneReachable || !servers.some(isReachable);
      return lost.length === 0 && untrue.length === 0 && isNoneTrue;
    }),
    { seed: 55, numRuns: 150 },
  );
  t.pass('150 topologies');
});
