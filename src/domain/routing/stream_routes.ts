/**
 * Which calls bring streams, and which services they may go to.
 *
 * @module
 */
import type { Route } from './types.js';

/**
 * Describes where calls for streams may go. While two configurations have the same description, each
 * such call may go to the same services under both.
 *
 * @param routes - all routes of a configuration
 * @returns a text that differs where the services, or the conditions of a stream, differ
 */
export function describeStreamRoutes(routes: readonly Route[]): string {
  const lines = routes
    .filter(({ isStream }) => isStream)
    .map(({ hostName, prefix, services, isResumable, mayBeAnonymous }) => {
      const serviceIds = services.map(({ serviceId }) => serviceId).sort();
      return JSON.stringify([hostName, prefix, isResumable, mayBeAnonymous, serviceIds]);
    });
  return lines.sort().join('\n');
}
