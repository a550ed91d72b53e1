/**
 * Counts the software versions that serve side by side.
 *
 * @module
 */
import type { BackendServerEntry } from './backend_server_entry.js';

/**
 * @param entries - registry entries
 * @returns the largest number of software versions that servers of one service run; those that
 *   name none count as one version
 */
export function countVersions(
  entries: readonly Pick<BackendServerEntry, 'serviceId' | 'softwareVersion'>[],
): number {
  const versions = new Map<string, Set<string | undefined>>();
  entries.forEach(({ serviceId, softwareVersion }) => {
    const known = versions.get(serviceId) ?? new Set();
    versions.set(serviceId, known.add(softwareVersion));
  });
  return Math.max(0, ...[...versions.values()].map(({ size }) => size));
}
