import t from 'tap';
import { MAX_MESH_HOSTS, pickRelays, rankRelays } from './mod.js';
import type { PlannedHost } from './mod.js';

function buildHost(id: string, availabilityZone = 'hall-a', cores = 1): PlannedHost {
  const identity = { id, incarnation: `${id}-1`, url: '', peerUrl: '', availabilityZone };
  return { identity, cores };
}

function buildZone(zone: string, count: number, cores = 1): PlannedHost[] {
  return Array.from({ length: count }, (_, index) => buildHost(`${zone}-${index}`, zone, cores));
}

t.test('pickRelays() returns all hosts up to the maximum mesh size', async (t) => {
  t.equal(pickRelays(buildZone('hall-a', MAX_MESH_HOSTS)).size, MAX_MESH_HOSTS);
});

t.test('pickRelays() picks the hosts with the most cores of each zone', async (t) => {
  const hosts = [
    ...buildZone('hall-a', 20),
    buildHost('strong-a', 'hall-a', 2),
    ...buildZone('hall-b', 10),
    buildHost('strong-b', 'hall-b', 2),
  ];
  const relays = pickRelays(hosts);
  t.ok(relays.has('strong-a') && relays.has('strong-b'));
  t.equal(relays.size, 3);
});

t.test('pickRelays() keeps the relays few and the groups small for 412 entry hosts', async (t) => {
  const hosts = ['a', 'b', 'c', 'd'].flatMap((zone) => buildZone(zone, 103));
  const relays = pickRelays(hosts).size;
  t.ok(relays <= 24, String(relays));
  t.ok(412 / relays <= 21, String(412 / relays));
});

t.test('rankRelays() starts with the member’s own zone and spreads members', async (t) => {
  const relays = [...buildZone('hall-a', 2), ...buildZone('hall-b', 2)];
  const firsts = new Map<string, number>();
  for (let index = 0; index < 200; index += 1) {
    const ranked = rankRelays(buildHost(`m-${index}`, 'hall-b'), relays);
    t.ok(ranked.slice(0, 2).every((id) => id.startsWith('hall-b')));
    firsts.set(ranked[0] ?? '', (firsts.get(ranked[0] ?? '') ?? 0) + 1);
  }
  t.ok([...firsts.values()].every((count) => count > 60 && count < 140));
});
