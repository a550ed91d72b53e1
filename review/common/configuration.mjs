/**
 * Builds the operator's configuration of a case.
 *
 * @module
 */

/** The client's key. */
export const KEY = 'key-of-tenant-a';

/**
 * @param {number} version - version of the configuration
 * @param {object} changes - fields of the route that differ
 * @returns {object} a configuration with one route that isn't idempotent
 */
export function buildConfiguration(version, changes = {}) {
  return {
    version,
    routes: [
      {
        name: 'ledger-entry',
        host: 'service.example',
        prefix: '/ledger/',
        routeType: 'non_idempotent',
        timeoutMs: 6_000,
        targetLatencyMs: 2_500,
        priority: 0,
        service: 'case-app',
        maxAttempts: 1,
        anonymous: false,
        ...changes,
      },
    ],
    services: [{ name: 'case-app', healthPath: '/healthz', maxConnections: 100 }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [
      {
        name: 'tenant-a',
        apiKeys: [KEY],
        unit: 'token_count',
        uncachedTokens: 200,
        ratePerS: 0,
        burst: 0,
      },
    ],
  };
}
