/**
 * Splits a service's backend servers into dispatch groups that share one queue
 * each.
 *
 * @module
 */
import type { BackendServer, Service } from '../contracts/types.js';

/** Shard of one service's backend servers. */
export interface DispatchGroup {
  /** `<service>/<n>`, with n counted from 0. */
  readonly id: string;
  readonly serviceId: string;
  /** Sorted by ID; never empty. */
  readonly backendServers: readonly BackendServer[];
}

/**
 * Splits a service into as few dispatch groups as its group size allows, as
 * evenly as possible. Every entry host with the same configuration computes the
 * same groups, so no coordination is needed.
 *
 * @param service - the service
 * @returns its groups; empty if it has no backend servers
 */
export function splitDispatchGroups(service: Service): DispatchGroup[] {
  const sorted = [...service.backendServers].sort((a, b) => compareIds(a.id, b.id));
  const size = Math.max(1, service.dispatchGroupSize);
  const count = Math.ceil(sorted.length / size);
  return Array.from({ length: count }, (_, index) => ({
    id: `${service.id}/${index}`,
    serviceId: service.id,
    backendServers: sorted.slice(
      Math.floor((index * sorted.length) / count),
      Math.floor(((index + 1) * sorted.length) / count),
    ),
  }));
}

/**
 * Extracts the service ID from a group ID.
 *
 * @param groupId - `<service>/<n>`
 * @returns the service's ID
 */
export function parseGroupServiceId(groupId: string): string {
  return groupId.slice(0, Math.max(0, groupId.lastIndexOf('/')));
}

function compareIds(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
