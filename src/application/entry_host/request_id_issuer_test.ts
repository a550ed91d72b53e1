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

t.test('RequestIdIssuer distributes new requests over all entry hosts', async (t) => {
  const counts = await countOwners(startHosts()[0]);
  t.same([...counts.keys()].sort(), ['entry-a', 'entry-b', 'entry-c']);
  t.ok(Math.min(...counts.values()) > ASSIGNMENTS / 6);
});

t.test(
  'RequestIdIssuer leaves out an entry host without links before it is suspected',
  async (t) => {
    // Guards against refused callers' connections for two seconds after an entry host is killed.
    // Until its peers suspect it, they issue IDs that it owns, because a host that is live in the
    // membership view may be unreachable.
    const [first, second] = startHosts();
    second?.kill();
    const counts = await countOwners(first);
    t.same([...counts.keys()].sort(), ['entry-a', 'entry-c']);
    const assignment = await first?.gateway.assign(ACCOUNT, undefined);
    t.notOk(assignment?.entryHosts.some((host) => host.id === 'entry-b'));
  },
);

t.test(
  'RequestIdIssuer returns the same ID for the same idempotency key of an account',
  async (t) => {
    const [first] = startHosts();
    const ask = async (key: string): Promise<string | undefined> =>
      (await first?.gateway.assign(ACCOUNT, key))?.id;
    t.equal(await ask('notice-1'), await ask('notice-1'));
    t.not(await ask('notice-1'), await ask('notice-2'));
  },
);
