/**
 * Builds registries of backend servers for tests, and the reports and reads they receive.
 *
 * @module
 */
import { ZoneView, ServerRegistry } from '../../src/application/direct/mod.js';
import type { BackendServerEntry } from '../../src/domain/backend_servers/mod.js';
import { ServerPaths } from '../../src/domain/paths/mod.js';
import type { Clock } from '../../src/ports/mod.js';
import { FakeLog, FakeMetrics } from './fakes.js';

/** Empty stats of a peer's report about backend servers. */
export const NO_STATS = {
  inFlight: {},
  waitingCalls: {},
  firstWaiting: {},
  callingHosts: {},
  avoidedBy: {},
  endedServers: [],
  leavingServers: [],
  rateLimits: {},
  refusalLimits: {},
  waitingByUrgency: {},
  startedByUrgency: {},
  hostCount: 1,
  accountUsage: {},
};

/** Context of a feed read under normal conditions. */
export const NORMAL_READ_CONTEXT = {
  wasAway: false,
  isRestored: false,
  ageMs: 0,
  askedAt: { steadyMs: 0, wallMs: 0 },
};

/** @returns a server registry that decodes entries as JSON and rejects values that are no object */
export function createServerRegistry(clock: Clock, hostCount = 3): ServerRegistry {
  const shared = { clock, log: new FakeLog(), metrics: new FakeMetrics() };
  return new ServerRegistry({
    ...shared,
    prefix: 'servers/',
    computeAgeMs: () => 0,
    decode: (_key, value) => {
      const entry = JSON.parse(Buffer.from(value).toString()) as BackendServerEntry;
      if (typeof entry !== 'object') throw new Error('Cannot decode the entry');
      return entry;
    },
    paths: new ServerPaths(),
    isEngine: () => true,
    countServing: () => hostCount,
    places: new ZoneView({ ...shared, prefix: 'closed/' }),
    hosts: {
      selfId: 'entry-1',
      listKnown: () => [],
      listPresent: () => [],
      isSettled: () => true,
      isConfirmed: () => true,
    },
    findWarmupLimit: () => undefined,
    findRegion: () => undefined,
  });
}
