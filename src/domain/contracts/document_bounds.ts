/**
 * Bounds and defaults of the documents that operators publish. A bound is far
 * beyond any sensible use; it keeps one mistyped document from taking memory
 * or time from everybody else.
 *
 * @module
 */

/** Longest document, in bytes: the most that one value of the platform's service holds. */
export const MAX_DOCUMENT_BYTES = 1_048_576;

/** Deepest nesting of objects and lists. */
export const MAX_DOCUMENT_DEPTH = 16;

/** Most faults that are told of one document. */
export const MAX_FAULTS = 50;

/** Longest ID, in characters. */
export const MAX_ID_LENGTH = 64;

/** Most API keys of one account, those in rotation included. */
export const MAX_KEYS = 16;

/** Most work entries of one contract. */
export const MAX_WORK_ENTRIES = 64;

/** Most methods or path prefixes of one work entry. */
export const MAX_CALL_PATTERNS = 32;

/** Longest path prefix, in characters. */
export const MAX_PATH_PREFIX_LENGTH = 256;

/** Highest weight in fair sharing. */
export const MAX_WEIGHT = 1000;

/** Highest rate of requests, a second. */
export const MAX_REQUESTS_PER_SECOND = 1_000_000;

/** Highest rate of tokens, a second. */
export const MAX_TOKENS_PER_SECOND = 1_000_000_000;

/** Most requests of one account in flight. */
export const MAX_IN_FLIGHT = 100_000;

/** Longest deadline that a contract may allow, in milliseconds: a day. */
export const MAX_DEADLINE_MS = 86_400_000;

/** Most output that a work entry may expect, in tokens. */
export const MAX_EXPECTED_OUTPUT_TOKENS = 1_000_000;

/** Most services of a fleet. */
export const MAX_SERVICES = 256;

/** Most models of one service. */
export const MAX_MODELS = 64;

/** Longest name of a model, in characters. */
export const MAX_MODEL_LENGTH = 128;

/** Most backend servers of one service. */
export const MAX_BACKEND_SERVERS = 4096;

/** Longest URL, in characters. */
export const MAX_URL_LENGTH = 256;

/** Most engine kinds of a fleet. */
export const MAX_ENGINE_KINDS = 64;

/** Most slots of one backend server. */
export const MAX_SLOTS = 4096;

/** Most backend servers that one dispatcher looks after. */
export const MAX_DISPATCH_GROUP_SIZE = 64;

/** Weight of a contract that names none. */
export const DEFAULT_WEIGHT = 1;

/** Longest deadline of a contract that names none, in milliseconds. */
export const DEFAULT_LONGEST_DEADLINE_MS = 600_000;

/** Expected output of a work entry that names none, in tokens. */
export const DEFAULT_EXPECTED_OUTPUT_TOKENS = 256;

/** Backend servers a dispatcher looks after, where a service doesn't say. */
export const DEFAULT_DISPATCH_GROUP_SIZE = 16;
