/**
 * Flow control of forwarded answers.
 *
 * @module
 */

/** Bytes of an answer that may be under way before the receiver gives credit. */
export const INITIAL_CREDIT_BYTES = 262_144;

/** The receiver gives credit back once it has taken this many bytes. */
export const CREDIT_STEP_BYTES = 65_536;

/** Largest part of an answer in one message, so that long answers don't hold up short ones on a link. */
export const MAX_CHUNK_BYTES = 16_384;
