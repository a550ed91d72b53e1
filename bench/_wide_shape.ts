/**
 * A user's shape with limits that are not what is measured.
 *
 * @module
 */
import type { FleetShape } from '../test/fleet/mod.js';

const WIDE_LIMITS = { requestsPerSecond: 100_000, tokensPerSecond: 100_000_000, inFlight: 50_000 };

/**
 * Builds a shape whose accounts are never refused by their own limits.
 *
 * @param shape - the user's shape
 * @returns the same with wide limits
 */
export function buildWideShape(shape: FleetShape): FleetShape {
  return {
    ...shape,
    contracts: shape.contracts.map((contract) => ({ ...contract, limits: WIDE_LIMITS })),
  };
}
