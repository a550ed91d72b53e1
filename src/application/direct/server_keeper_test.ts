import t from 'tap';
import { buildServer, startDirectHost } from '../../../test/support/direct_host.js';
import { NO_FIGURES } from '../../../test/support/server_keepers.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import { formatLife, LAPSED_GRACE_MS, ServerOutcome } from '../../domain/backend_servers/mod.js';
import { settle } from '../../../test/support/virtual_clock.js';

function listIds(host: DirectHost): string[] {
  return host.servers.listCandidates('engines').map(({ id }) => id);
}

t.test('ServerKeeper lists who may be given work, as of now', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1', 's-2']);
  t.same(listIds(host), ['s-1', 's-2']);
  host.feed.put('servers/s-1', buildServer('s-1', { isLeaving: true }));
  await settle();
  t.same(listIds(host), ['s-2']);
  host.servers.noteEnded('s-2');
  t.same(listIds(host), []);
});

t.test('ServerKeeper leaves out an entry that can not be read, and keeps the others', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1']);
  host.feed.put('servers/s-2', 'no entry');
  await settle();
  t.same(listIds(host), ['s-1']);
  t.ok(host.log.lines.some(({ event }) => event === 'backend_server_entry_refused'));
});

t.test('ServerKeeper uses a server for a moment whose entry was overwritten', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1', 's-2']);
  host.feed.put('servers/s-1', 'no entry');
  await settle();
  t.same(listIds(host), ['s-1', 's-2']);
  await host.clock.advance(LAPSED_GRACE_MS);
  t.same(listIds(host), ['s-2']);
  host.feed.put('servers/s-1', buildServer('s-1'));
  await settle();
  t.same(listIds(host), ['s-1', 's-2']);
});

t.test('ServerKeeper begins a new life with nothing of the former one', async (t) => {
  const host = await startDirectHost(t, {}, []);
  const putLife = async (bornAtMs: number): Promise<void> => {
    const id = formatLife('s-1', bornAtMs);
    host.feed.put('servers/s-1', buildServer(id, { serverId: 's-1', bornAtMs }));
    await settle();
  };
  await putLife(1);
  const [former] = host.servers.listCandidates('engines');
  former?.load.begin({ promptTokens: 1, outputTokens: 1 });
  former?.load.end(ServerOutcome.Failed, host.clock.nowMs());
  former?.load.begin({ promptTokens: 1, outputTokens: 1 });
  host.servers.applyPeer('peer-1', { ...NO_FIGURES, inFlight: { 's-1@1': 5 } });
  await putLife(2);
  const [next] = host.servers.listCandidates('engines');
  t.equal(next?.id, 's-1@2');
  t.equal(next?.load.inFlight, 0);
  t.notOk(next?.load.isPaused(host.clock.nowMs()));
  // A peer that has not heard of the restart still counts what ended with it.
  host.servers.applyPeer('peer-1', { ...NO_FIGURES, inFlight: { 's-1@1': 5 } });
  t.equal(next?.load.inFlight, 0);
  t.same(host.servers.listEnded(), ['s-1@1']);
  await putLife(1);
  t.same(listIds(host), ['s-1@2']);
});

t.test('ServerKeeper adds up what peers have in flight, and forgets a silent one', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1']);
  const [candidate] = host.servers.listCandidates('engines');
  host.servers.applyPeer('peer-1', { ...NO_FIGURES, inFlight: { 's-1': 2 } });
  host.servers.applyPeer('peer-2', { ...NO_FIGURES, inFlight: { 's-1': 1 } });
  t.equal(candidate?.load.inFlight, 3);
  host.servers.applyPeer('peer-1', undefined);
  t.equal(candidate?.load.inFlight, 1);
});

t.test('ServerKeeper believes peers that a backend server has ended', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1', 's-2']);
  host.servers.applyPeer('peer-1', { ...NO_FIGURES, endedServers: ['s-1'] });
  t.same(listIds(host), ['s-2']);
  // It is told on, since not everybody reports to everybody, and forgotten with the entry.
  t.same(host.servers.listEnded(), ['s-1']);
  host.feed.remove('servers/s-1');
  await settle();
  t.same(host.servers.listEnded(), []);
  host.servers.applyPeer('peer-1', { ...NO_FIGURES, endedServers: ['s-1'] });
  t.same(host.servers.listEnded(), []);
});

t.test('ServerKeeper leaves a backend server alone that peers have found silent', async (t) => {
  // Symptom: after a backend server has fallen silent, each of sixty entry hosts loses
  // requests to it before it is left alone.
  // Sequence: two peers wait in vain for answers, and report it.
  // Cause: each entry host had to find out for itself.
  const host = await startDirectHost(t, {}, ['s-1', 's-2']);
  const [candidate] = host.servers.listCandidates('engines');
  host.servers.applyPeer('peer-1', { ...NO_FIGURES, avoidedBy: { 's-1': 1 } });
  t.notOk(candidate?.load.isPaused(host.clock.nowMs()));
  host.servers.applyPeer('peer-2', { ...NO_FIGURES, avoidedBy: { 's-1': 1 } });
  t.ok(candidate?.load.isPaused(host.clock.nowMs()));
  t.same(host.servers.countAvoiding(['peer-1', 'peer-2']), { 's-1': 2 });
  t.same(host.servers.countAvoiding(), {});
  host.servers.applyPeer('peer-1', NO_FIGURES);
  t.notOk(candidate?.load.isPaused(host.clock.nowMs()));
});

t.test('ServerKeeper believes an answer of its own more than peers', async (t) => {
  // Symptom: a sound backend server gets no work.
  // Sequence: the links of some entry hosts to it fail; they report it.
  // Cause: the others believed them, although they had answers from it.
  const host = await startDirectHost(t, {}, ['s-1', 's-2']);
  const [candidate] = host.servers.listCandidates('engines');
  const work = { promptTokens: 1, outputTokens: 1 };
  candidate?.load.begin(work);
  candidate?.load.end(ServerOutcome.Answered, host.clock.nowMs());
  host.servers.applyPeer('peer-1', { ...NO_FIGURES, avoidedBy: { 's-1': 2 } });
  t.notOk(candidate?.load.isPaused(host.clock.nowMs()));
});
