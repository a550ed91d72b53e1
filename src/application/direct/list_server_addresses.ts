/**
 * Lists where the backend servers are that may be probed.
 *
 * @module
 */
import type { ServerRegistry } from './server_registry.js';

/** A server incarnation and its address. */
export interface ServerAddressEntry {
  readonly incarnationId: string;
  /** IP address and port. */
  readonly address: string;
}

/**
 * @param servers - registry of the backend servers
 * @returns the servers that get work
 */
export function listServerAddresses(servers: ServerRegistry): ServerAddressEntry[] {
  return servers
    .listEntries()
    .filter(({ id }) => servers.mayReceive(id))
    .map(({ id, address }) => ({ incarnationId: id, address }));
}
