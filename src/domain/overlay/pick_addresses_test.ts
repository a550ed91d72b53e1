import t from 'tap';
import { buildIdentity } from '../../../test/support/fake_peer_network.js';
import { pickNearbyHosts, pickReachingHosts } from './mod.js';
import type { HostState, PlannedHost } from './mod.js';

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
  return pickNearbyHosts(hosts, { callerRegion, homeRegions, findRegion });
}

t.test('pickNearHosts() returns hosts of the caller’s own region', async (t) => {
  // Guards against request bodies sent to a region that is neither the caller's own nor one
  // of its home regions.
  t.same(pick([NORTH, SOUTH], 'north', ['south']), [NORTH]);
  t.same(pick([NORTH, SOUTH], 'south', undefined), [SOUTH]);
});

t.test('pickNearHosts() falls back to hosts of the home regions', async (t) => {
  const third = buildHost('entry-3', 'nowhere');
  t.same(pick([NORTH, SOUTH, third], 'west', ['south']), [SOUTH]);
});

t.test('pickNearHosts() returns all hosts if no region matches', async (t) => {
  t.same(pick([NORTH, SOUTH], '', undefined), [NORTH, SOUTH]);
  t.same(pick([NORTH], 'west', ['east']), [NORTH]);
});

t.test('pickReachingHosts() leaves out hosts that are cut off, unless most are', async (t) => {
  // Guards against callers of a whole fleet that are sent to the few hosts with links left.
  const buildState = (id: string, isCutOff: boolean): HostState => ({
    ...buildHost(id, 'north-a'),
    bornAtMs: 0,
    version: 1,
    isServing: true,
    isInTouch: true,
    isCutOff,
    isLeaving: false,
  });
  const pickIds = (cutOff: readonly boolean[]): string[] =>
    pickReachingHosts(cutOff.map((isCutOff, index) => buildState(`h-${index}`, isCutOff))).map(
      ({ identity }) => identity.id,
    );
  t.same(pickIds([true, false, false]), ['h-1', 'h-2']);
  t.same(pickIds([true, false]), ['h-1']);
  t.same(pickIds([true, true, false]), ['h-0', 'h-1', 'h-2']);
});
