/**
 * The allowance messages with the numbers that tie request, lease and
 * confirmation together.
 *
 * Without them a lease that waited in the socket of a paused process would be
 * taken for the answer to a newer request and used after the home has lent its
 * room to another; and the home could not tell a lease that arrived from one
 * that was lost.
 *
 * @module
 */
import type { AllowanceLeaseMessage, AllowanceRequestMessage } from '../../ports/mod.js';

interface RequestNumbers {
  /** Rises with each request of the sender; 0: it only confirms a lease. */
  readonly requestNumber: number;
  /** Number of the lease that the sender holds of the receiver; 0: none. */
  readonly heldLease: number;
  /** Requests in flight at the sender, without those that were refused. */
  readonly running: number;
}

interface LeaseNumbers {
  /** Rises with each lease of the sender. */
  readonly leaseNumber: number;
  /** Newest request for the account that the sender had heard; 0: none. */
  readonly requestNumber: number;
}

/** A request with its numbers; without them it is read as a bare confirmation. */
export type NumberedRequest = AllowanceRequestMessage & Partial<RequestNumbers>;

/** A lease with its numbers; without them it is ignored. */
export type NumberedLease = AllowanceLeaseMessage & Partial<LeaseNumbers>;
