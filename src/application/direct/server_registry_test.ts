import t from 'tap';
import { buildServer, startDirectHost } from '../../../test/support/direct_host.js';
import { NO_STATS } from '../../../test/support/server_registries.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import {
  formatIncarnationId,
  EXPIRED_ENTRY_GRACE_MS,
  ServerOutcome,
} from '../../domain/backend_servers/mod.js';
import { settle } from '../../../test/support/virtual_clock.js';

function listIds(host: DirectHost): string[] {
  return host.servers.listCandidates('engines').map(({ id }) => id);
}

t.test('the server registry lists the servers that may be given work at present', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1', 's-2']);
  t.same(listIds(host), ['s-1', 's-2']);
  host.feed.put('servers/s-1', buildServer('s-1', { isLeaving: true }));
  await settle();
  t.same(listIds(host), ['s-2']);
  host.servers.recordEnded('s-2');
  t.same(listIds(host), []);
});

t.test('the server registry skips an undecodable entry and keeps the others', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1']);
  host.feed.put('servers/s-2', 'no entry');
  await settle();
  t.same(listIds(host), ['s-1']);
  t.ok(host.log.lines.some(({ event }) => event === 'backend_server_entry_refused'));
});

t.test(
  'the server registry keeps a server for a short time after its entry was overwritten',
  async (t) => {
    const host = await startDirectHost(t, {}, ['s-1', 's-2']);
    host.feed.put('servers/s-1', 'no entry');
    await settle();
    t.same(listIds(host), ['s-1', 's-2']);
    await host.clock.advance(EXPIRED_ENTRY_GRACE_MS);
    t.same(listIds(host), ['s-2']);
    host.feed.put('servers/s-1', buildServer('s-1'));
    await settle();
    t.same(listIds(host), ['s-1', 's-2']);
  },
);

t.test('a new server incarnation starts without the load of the former one', async (t) => {
  const host = await startDirectHost(t, {}, []);
  const putIncarnation = async (bornAtMs: number): Promise<void> => {
    const id = formatIncarnationId('s-1', bornAtMs);
    host.feed.put('servers/s-1', buildServer(id, { serverId: 's-1', bornAtMs }));
    await settle();
  };
  await putIncarnation(1);
  const [formerCandidate] = host.servers.listCandidates('engines');
  formerCandidate?.load.recordStart({ promptTokens: 1, outputTokens: 1 });
  formerCandidate?.load.recordEnd(ServerOutcome.Failed, host.clock.nowMs());
  formerCandidate?.load.recordStart({ promptTokens: 1, outputTokens: 1 });
  host.servers.applyPeerStats('peer-1', { ...NO_STATS, inFlight: { 's-1@1': 5 } });
  await putIncarnation(2);
  const [newCandidate] = host.servers.listCandidates('engines');
  t.equal(newCandidate?.id, 's-1@2');
  t.equal(newCandidate?.load.inFlight, 0);
  t.notOk(newCandidate?.load.mustAvoid(host.clock.nowMs()));
  // A peer that doesn't know of the restart yet still counts requests that have ended with it.
  host.servers.applyPeerStats('peer-1', { ...NO_STATS, inFlight: { 's-1@1': 5 } });
  t.equal(newCandidate?.load.inFlight, 0);
  t.same(host.servers.listEndedIds(), ['s-1@1']);
  await putIncarnation(1);
  t.same(listIds(host), ['s-1@2']);
});

t.test(
  'the server registry sums the requests in flight of peers, except silent ones',
  async (t) => {
    const host = await startDirectHost(t, {}, ['s-1']);
    const [candidate] = host.servers.listCandidates('engines');
    host.servers.applyPeerStats('peer-1', { ...NO_STATS, inFlight: { 's-1': 2 } });
    host.servers.applyPeerStats('peer-2', { ...NO_STATS, inFlight: { 's-1': 1 } });
    t.equal(candidate?.load.inFlight, 3);
    host.servers.applyPeerStats('peer-1', undefined);
    t.equal(candidate?.load.inFlight, 1);
  },
);

t.test('the server registry trusts peers that report an ended server', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1', 's-2']);
  host.servers.applyPeerStats('peer-1', { ...NO_STATS, endedServers: ['s-1'] });
  t.same(listIds(host), ['s-2']);
  // The ended server is reported on, since not all hosts report to each other, and is forgotten
  // together with its entry.
  t.same(host.servers.listEndedIds(), ['s-1']);
  host.feed.remove('servers/s-1');
  await settle();
  t.same(host.servers.listEndedIds(), []);
  host.servers.applyPeerStats('peer-1', { ...NO_STATS, endedServers: ['s-1'] });
  t.same(host.servers.listEndedIds(), []);
});

t.test('the server registry avoids a server that peers report as silent', async (t) => {
  // Guards against each of sixty entry hosts losing requests to a backend server that has fallen
  // silent before all of them avoid it. Two peers wait in vain for answers and report it, so the
  // others need not find out for themselves.
  const host = await startDirectHost(t, {}, ['s-1', 's-2']);
  const [candidate] = host.servers.listCandidates('engines');
  host.servers.applyPeerStats('peer-1', { ...NO_STATS, avoidedBy: { 's-1': 1 } });
  t.notOk(candidate?.load.mustAvoid(host.clock.nowMs()));
  host.servers.applyPeerStats('peer-2', { ...NO_STATS, avoidedBy: { 's-1': 1 } });
  t.ok(candidate?.load.mustAvoid(host.clock.nowMs()));
  t.same(host.servers.loads.countAvoiding(['peer-1', 'peer-2']), { 's-1': 2 });
  t.same(host.servers.loads.countAvoiding(), {});
  host.servers.applyPeerStats('peer-1', NO_STATS);
  t.notOk(candidate?.load.mustAvoid(host.clock.nowMs()));
});

t.test('the server registry trusts its own answers more than reports from peers', async (t) => {
  // Guards against a healthy backend server that gets no work. The links of some entry hosts to
  // it fail and they report it; a host that gets answers from the server must not follow them.
  const host = await startDirectHost(t, {}, ['s-1', 's-2']);
  const [candidate] = host.servers.listCandidates('engines');
  const work = { promptTokens: 1, outputTokens: 1 };
  candidate?.load.recordStart(work);
  candidate?.load.recordEnd(ServerOutcome.Answered, host.clock.nowMs());
  host.servers.applyPeerStats('peer-1', { ...NO_STATS, avoidedBy: { 's-1': 2 } });
  t.notOk(candidate?.load.mustAvoid(host.clock.nowMs()));
});
