/**
 * Identities of entry hosts in tests.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../src/domain/membership/types.js';

/**
 * Builds an identity for tests.
 *
 * @param id - ID of the entry host
 * @param incarnation - incarnation; by default derived from the ID
 * @returns the identity
 */
export function buildIdentity(id: string, incarnation = `${id}-1`): EntryHostIdentity {
  return {
    id,
    incarnation,
    url: `http://${id}.test`,
    peerUrl: `ws://${id}.test`,
    availabilityZone: 'hall-a',
    keepsStreamOrigins: true,
    resumesExchanges: true,
  };
}
