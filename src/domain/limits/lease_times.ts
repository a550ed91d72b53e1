/**
 * Durations of allowance leases.
 *
 * @module
 */

/** Default time in milliseconds for which a lease permits more than the base share. */
export const LEASE_DURATION_MS = 2000;

/**
 * Number of lease durations, from its receipt, for which a lease restricts its
 * holder to a share below the base share. It must exceed 1, since the freed capacity
 * is lent to another host for a whole lease duration under this restriction. The
 * excess tolerates the loss of a renewal or of its confirmation.
 */
export const RESTRICTION_DURATION_FACTOR = 3;

/** Request number of a report that requests nothing and only confirms the held lease. */
export const ACK_REQUEST_NUMBER = 0;
