/**
 * Raises the account limits of a fleet shape so that they don't affect a measurement.
 *
 * @module
 */
import type { FleetShape } from '../test/fleet/mod.js';

const WIDE_LIMITS = { requestsPerSecond: 100_000, tokensPerSecond: 100_000_000, inFlight: 50_000 };

/**
 * Builds a shape whose client accounts never reach their limits.
 *
 * @param shape - the original shape
 * @returns a copy with high limits
 */
export function buildWideShape(shape: FleetShape): FleetShape {
  return {
    ...shape,
    contracts: shape.contracts.map((contract) => ({ ...contract, limits: WIDE_LIMITS })),
  };
}
