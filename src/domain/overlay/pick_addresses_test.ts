import t from 'tap';
import { buildIdentity } from '../../../test/support/fake_peer_network.js';
import { pickNearHosts } from './mod.js';
import type { PlannedHost } from './mod.js';

const ZONE_REGIONS: Readonly<Record<string, string>> = { 'north-a': 'north', 'south-a': 'south' };

function buildHost(id: string, availabilityZone: string): PlannedHost {
  return { identity: { ...buildIdentity(id, `${id}/1`), availabilityZone }, cores: 1 };
}

const NORTH = buildHost('entry-1', 'north-a');
const SOUTH = buildHost('entry-2', 'south-a');

function pick(
  hosts: readonly PlannedHost[],
  callerRegion: string,
  homeRegions: readonly string[] | undefined,
): readonly PlannedHost[] {
  const findRegion = (zone: string): string | undefined => ZONE_REGIONS[zone];
  return pickNearHosts(hosts, { callerRegion, homeRegions, findRegion });
}

t.test('pickNearHosts() names hosts of the caller’s own region', async (t) => {
  // Guards against bodies that are sent to a region which is neither a home nor the caller's.
  t.same(pick([NORTH, SOUTH], 'north', ['south']), [NORTH]);
  t.same(pick([NORTH, SOUTH], 'south', undefined), [SOUTH]);
});

t.test('pickNearHosts() names hosts of a home where none serves near the caller', async (t) => {
  const third = buildHost('entry-3', 'nowhere');
  t.same(pick([NORTH, SOUTH, third], 'west', ['south']), [SOUTH]);
});

t.test('pickNearHosts() names any that serves where neither is known', async (t) => {
  t.same(pick([NORTH, SOUTH], '', undefined), [NORTH, SOUTH]);
  t.same(pick([NORTH], 'west', ['east']), [NORTH]);
});
