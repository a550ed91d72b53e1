/**
 * Runs the demo's fleet without load, for manual experiments and other programs.
 *
 * @module
 */
import { startFleet } from '../test/fleet/mod.js';
import type { Fleet, FleetShape } from '../test/fleet/mod.js';

function buildHoldLine(fleet: Fleet): string {
  const { configuration } = fleet;
  return JSON.stringify({
    entryHosts: fleet.entryHosts.map(({ id, url, adminUrl, pid }) => ({ id, url, adminUrl, pid })),
    backendServers: fleet.backendServers.map(({ id, service, url, pid }) => ({
      id,
      service,
      url,
      pid,
    })),
    platform: { url: configuration.url, pid: configuration.pid },
    clientAccounts: fleet.accounts,
  });
}

/**
 * Starts a fleet, prints its addresses, process IDs and accounts as one JSON line, and stops it at
 * SIGINT or SIGTERM.
 *
 * @param shape - the fleet's shape
 */
export async function runHold(shape: FleetShape): Promise<void> {
  const signaled = new Promise<void>((resolve) => {
    ['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => resolve()));
  });
  const fleet = await startFleet({ shape });
  process.stdout.write(`${buildHoldLine(fleet)}\n`);
  await signaled;
  await fleet.stop();
}
