import t from 'tap';
import { buildIdentity, FakePeerHub } from '../../../test/support/fake_peer_network.js';
import { FakeBackend } from '../../../test/support/fake_backend.js';
import { ACCOUNT, OwnerHost } from '../../../test/support/owner_hosts.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';

const ASSIGNMENTS = 60;

function startHosts(): OwnerHost[] {
  const clock = new VirtualClock();
  const world = { clock, hub: new FakePeerHub(), backend: new FakeBackend(clock), hosts: [] };
  return ['a', 'b', 'c'].map((name, at) => {
    const incarnation = String(at).padStart(16, '0');
    const host = new OwnerHost(buildIdentity(`entry-${name}`, incarnation), world);
    host.start();
    return host;
  });
}

async function countOwners(host: OwnerHost | undefined): Promise<Map<string, number>> {
  const counts = new Map<string, number>();
  for (let at = 0; at < ASSIGNMENTS; at += 1) {
    const assignment = await host?.gateway.assign(ACCOUNT, undefined);
    const id = assignment?.entryHost.id ?? '';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

t.test('IdentityIssuer spreads new requests over all entry hosts', async (t) => {
  const counts = await countOwners(startHosts()[0]);
  t.same([...counts.keys()].sort(), ['entry-a', 'entry-b', 'entry-c']);
  t.ok(Math.min(...counts.values()) > ASSIGNMENTS / 6);
});

t.test('IdentityIssuer names no entry host whose links went, before it is suspected', async (t) => {
  // Symptom: callers' connections refused for two seconds after a kill.
  // Sequence: an entry host was killed; until it was suspected, its peers went
  // on to give out IDs that it owned. Cause: live in the view is not reachable.
  const [first, second] = startHosts();
  second?.kill();
  const counts = await countOwners(first);
  t.same([...counts.keys()].sort(), ['entry-a', 'entry-c']);
  const assignment = await first?.gateway.assign(ACCOUNT, undefined);
  t.notOk(assignment?.entryHosts.some((host) => host.id === 'entry-b'));
});

t.test('IdentityIssuer gives the same ID for an idempotency key, by account', async (t) => {
  const [first] = startHosts();
  const ask = async (key: string): Promise<string | undefined> =>
    (await first?.gateway.assign(ACCOUNT, key))?.id;
  t.equal(await ask('notice-1'), await ask('notice-1'));
  t.not(await ask('notice-1'), await ask('notice-2'));
});
