/**
 * Creates the ways from an entry host to the backend servers.
 *
 * @module
 */
import { HttpDirectBackendClient } from '../adapters/direct_http/mod.js';
import type { DirectDialect } from '../adapters/direct_http/mod.js';
import { TcpServerProbe } from '../adapters/server_probe/mod.js';
import { listServerAddresses, PauseAwareProbe } from '../application/direct/mod.js';
import type { ServerRegistry } from '../application/direct/mod.js';
import { HostPaths } from '../application/paths/mod.js';
import type { HostPathsOptions } from '../application/paths/mod.js';
import { Reachability } from '../ports/mod.js';
import type { DirectMemory } from './_direct_memory.js';
import type { DirectSettings } from './direct_settings.js';

type DerivedOptions =
  | 'isPaused'
  | 'availabilityZone'
  | 'backend'
  | 'listServers'
  | 'mayReceive'
  | 'probe'
  | 'recordNotice';

/** Settings and collaborators; all other options are derived from them. */
export interface HostPathsParts extends Omit<HostPathsOptions, DerivedOptions> {
  readonly settings: DirectSettings;
  readonly dialect: DirectDialect;
  readonly servers: ServerRegistry;
  readonly memory: DirectMemory;
}

/**
 * Creates the ways.
 *
 * @param parts - settings and collaborators
 * @returns the ways of this host's own requests and of those that it sends for peers
 */
export function createHostPaths(parts: HostPathsParts): HostPaths {
  const { settings, dialect, servers, metrics, memory } = parts;
  const labels = { cause: 'request', result: Reachability.Open };
  const backend = new HttpDirectBackendClient(dialect, (bytes) => {
    memory.collector.record(bytes);
    return !memory.budgets.unsent.isFilling;
  });
  const hostPaths = new HostPaths({
    ...parts,
    availabilityZone: settings.availabilityZone,
    probe: new PauseAwareProbe(
      new TcpServerProbe((address, socket) => backend.keepReady(address, socket)),
      (address) => isPausedAt(servers, address),
    ),
    isPaused: (id) => servers.notices.pauses.isPaused(id),
    backend,
    mayReceive: (id) => servers.mayReceive(id),
    listServers: () => listServerAddresses(servers),
    recordNotice: (evidence) => servers.recordNotice(evidence),
  });
  backend.onConnected((incarnationId) => {
    metrics.count('server_connections_total', labels);
    hostPaths.recordConnected(incarnationId);
  });
  return hostPaths;
}

function isPausedAt(servers: ServerRegistry, address: string): boolean {
  return servers
    .listEntries()
    .some((entry) => entry.address === address && servers.notices.pauses.isPaused(entry.id));
}
