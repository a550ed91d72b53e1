/**
 * The demo's fleet without load, for others to work with.
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
 * Starts the fleet, prints one JSON line and stays until SIGINT or SIGTERM.
 * Nothing is left behind then.
 *
 * @param shape - the user's shape
 */
export async function runHold(shape: FleetShape): Promise<void> {
  const told = new Promise<void>((resolve) => {
    ['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => resolve()));
  });
  const fleet = await startFleet({ shape });
  process.stdout.write(`${buildHoldLine(fleet)}\n`);
  await told;
  await fleet.stop();
}
