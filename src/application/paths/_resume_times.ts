/**
 * Times for which requests through peers outlive a link between two hosts.
 *
 * @module
 */

/** Time without a link after which the other host is given up, in milliseconds. */
export const MAX_SUSPENSION_MS = 3_000;

/**
 * Time in which the host that asked opens a new link after the former one was closed other than for
 * its silence, in milliseconds. It is short since the requests of a peer that has crashed wait for it.
 */
export const MAX_CLOSED_MS = 80;

/**
 * Time for which a peer keeps the runs of a host whose link was closed so, in milliseconds. It
 * outlasts the wait of that host, as both may notice the end of the link at different moments.
 */
export const MAX_CLOSED_RUN_MS = 400;
