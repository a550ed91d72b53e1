/**
 * Limits for the flow control of forwarded answers.
 *
 * @module
 */

/** Bytes of an answer that may be in flight before the receiver grants credit. */
export const INITIAL_CREDIT_BYTES = 262_144;

/** Number of consumed bytes after which the receiver grants new credit. */
export const CREDIT_STEP_BYTES = 65_536;

/** Largest chunk in one message, so that long answers don't delay short ones on the same link. */
export const MAX_CHUNK_BYTES = 16_384;
