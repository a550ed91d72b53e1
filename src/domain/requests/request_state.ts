/**
 * The one-way states of a request.
 *
 * @module
 */

/** States of a request, in the only order in which they may follow each other. */
export enum RequestState {
  /** The ID was given out; no call has come with it. */
  Assigned = 'assigned',
  /** The owner has the call. */
  Accepted = 'accepted',
  /** The owner waits for a slot. */
  Queued = 'queued',
  /** A connection to a backend server is tried; the body has not left. */
  Dispatching = 'dispatching',
  /** The body left: from here on `not_run` is never said. */
  Dispatched = 'dispatched',
  /** The whole answer is there. */
  Answered = 'answered',
  /** Refused; nothing ran. */
  Refused = 'refused',
  /** It ran and its answer failed, or nobody can tell whether it ran. */
  Failed = 'failed',
}
