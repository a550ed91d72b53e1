/**
 * The one-way states of a request.
 *
 * @module
 */

/** States of a request; a request moves forward only, except from dispatching back to queued. */
export enum RequestState {
  /** The ID was issued; no call with it has arrived. */
  Assigned = 'assigned',
  /** The owner has received the call. */
  Accepted = 'accepted',
  /** The request waits for a slot at a backend server. */
  Queued = 'queued',
  /** The owner is connecting to a backend server; the body has not been handed over. */
  Dispatching = 'dispatching',
  /** The body has been handed over; from here on the outcome is never `not_run`. */
  Dispatched = 'dispatched',
  /** The answer is complete. */
  Answered = 'answered',
  /** The request was refused and did not run. */
  Refused = 'refused',
  /** The request ran and its answer failed, or it is unknown whether it ran. */
  Failed = 'failed',
}
