/**
 * Keepers of backend servers for tests, and what peers report to them.
 *
 * @module
 */
import { PlaceKeeper, ServerKeeper } from '../../src/application/direct/mod.js';
import type { BackendServerEntry } from '../../src/domain/backend_servers/mod.js';
import type { Clock } from '../../src/ports/mod.js';
import { FakeLog, FakeMetrics } from './fakes.js';

/** A peer's report of backend servers that says nothing. */
export const NO_FIGURES = {
  inFlight: {},
  waitingCalls: {},
  firstWaiting: {},
  avoidedBy: {},
  endedServers: [],
};

/** Circumstances of a read while nothing is wrong. */
export const CALM_CONTEXT = { wasAway: false, ageMs: 0, askedAt: { steadyMs: 0, wallMs: 0 } };

/** @returns a keeper that reads entries as tests write them; text that is no object can't be read */
export function createServerKeeper(clock: Clock, hostCount = 3): ServerKeeper {
  const shared = { clock, log: new FakeLog(), metrics: new FakeMetrics() };
  return new ServerKeeper({
    ...shared,
    prefix: 'servers/',
    decode: (_key, value) => {
      const entry = JSON.parse(Buffer.from(value).toString()) as BackendServerEntry;
      if (typeof entry !== 'object') throw new Error('Cannot read it');
      return entry;
    },
    isEngine: () => true,
    countServing: () => hostCount,
    places: new PlaceKeeper({ ...shared, prefix: 'closed/' }),
    hosts: { selfId: 'entry-1', listKnown: () => [], isSettled: () => true },
    findWarmupBound: () => undefined,
    findRegion: () => undefined,
  });
}
