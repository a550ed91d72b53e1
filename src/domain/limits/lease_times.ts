/**
 * How long leases of allowances live.
 *
 * @module
 */

/** Default time for which a lease permits more than the base share, in milliseconds. */
export const LEASE_LIFE_MS = 2000;

/**
 * A lease binds its holder to a share below the base share for this many lease
 * lives from its receipt. It must be longer than one life: the room that it
 * frees is lent to another for a whole life while this one is still in force.
 * What is beyond that lets a renewal or its confirmation be lost.
 */
export const HOLD_FACTOR = 3;

/** Request number of a message that only confirms which lease is held. */
export const ACK_REQUEST_NUMBER = 0;
