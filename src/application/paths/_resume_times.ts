/**
 * Times for which requests through peers outlive a link between two hosts.
 *
 * @module
 */

/** Time without a link after which the other host is given up, in milliseconds. */
export const MAX_SUSPENSION_MS = 3_000;
