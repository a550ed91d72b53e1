/**
 * Starts a fleet of test processes.
 *
 * @module
 */
import { FleetBuilder } from './_fleet_builder.js';
import type { Fleet } from './fleet.js';
import type { ResolvedFleetOptions, FleetOptions } from './fleet_options.js';
import { MOULINET } from './shapes.js';

function applyDefaults(options: FleetOptions): ResolvedFleetOptions {
  return {
    shape: MOULINET,
    entryHostCount: 3,
    engineCount: 3,
    plainServerCount: 1,
    timeScale: 1,
    entryHostFlags: [],
    engineFlags: [],
    plainServerFlags: [],
    plainHonoursContinue: true,
    dispatchGroupSize: 16,
    hostListLagMs: 0,
    proxied: {},
    onProgress: () => undefined,
    ...options,
  };
}

/**
 * Starts each stand-in and entry host in its own process, publishes the documents, and waits
 * until all entry hosts are ready. If a process fails to start, the others are stopped.
 *
 * @param options - options of the fleet
 * @returns the fleet, which the caller must stop
 * @throws Error with the output of the process that failed to start
 */
export async function startFleet(options: FleetOptions = {}): Promise<Fleet> {
  const builder = new FleetBuilder(applyDefaults(options));
  try {
    return await builder.build();
  } catch (error) {
    await builder.stop();
    throw error;
  }
}
