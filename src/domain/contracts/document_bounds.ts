/**
 * Limits and defaults of the documents that operators publish. Each limit is far
 * above any sensible value, and keeps a mistyped document from consuming memory
 * or processor time at the expense of all other accounts.
 *
 * @module
 */

/** Maximum size of a document in bytes, which is the largest value the platform stores. */
export const MAX_DOCUMENT_BYTES = 1_048_576;

/** Maximum nesting depth of objects and lists. */
export const MAX_DOCUMENT_DEPTH = 16;

/** Maximum number of faults reported for one document. */
export const MAX_FAULTS = 50;

/** Maximum length of an ID, in characters. */
export const MAX_ID_LENGTH = 64;

/** Maximum number of API keys of one account, including those in rotation. */
export const MAX_API_KEYS = 16;

/** Maximum number of work entries in one contract. */
export const MAX_WORK_ENTRIES = 64;

/** Maximum number of methods, and of path prefixes, in one work entry. */
export const MAX_CALL_PATTERNS = 32;

/** Maximum length of a path prefix, in characters. */
export const MAX_PATH_PREFIX_LENGTH = 256;

/** Maximum weight of an account in fair queueing. */
export const MAX_WEIGHT = 1000;

/** Maximum request rate of one account, per second. */
export const MAX_REQUESTS_PER_SECOND = 1_000_000;

/** Maximum token rate of an account or an engine kind, per second. */
export const MAX_TOKENS_PER_SECOND = 1_000_000_000;

/** Maximum limit on the in-flight requests of one account. */
export const MAX_IN_FLIGHT = 100_000;

/** Maximum deadline that a contract may allow, in milliseconds: one day. */
export const MAX_DEADLINE_MS = 86_400_000;

/** Maximum expected output of a work entry, in tokens. */
export const MAX_EXPECTED_OUTPUT_TOKENS = 1_000_000;

/** Maximum number of services in a fleet. */
export const MAX_SERVICES = 256;

/** Maximum number of models of one service. */
export const MAX_MODELS = 64;

/** Maximum length of a model name, in characters. */
export const MAX_MODEL_LENGTH = 128;

/** Maximum number of backend servers of one service. */
export const MAX_BACKEND_SERVERS = 4096;

/** Maximum length of a URL, in characters. */
export const MAX_URL_LENGTH = 256;

/** Maximum number of engine kinds in a fleet. */
export const MAX_ENGINE_KINDS = 64;

/** Maximum number of slots of one backend server. */
export const MAX_SLOTS = 4096;

/** Maximum number of backend servers that one dispatcher manages. */
export const MAX_DISPATCH_GROUP_SIZE = 64;

/** Default weight of an account. */
export const DEFAULT_WEIGHT = 1;

/** Default of the longest deadline that a contract allows, in milliseconds. */
export const DEFAULT_LONGEST_DEADLINE_MS = 600_000;

/** Default expected output of a work entry, in tokens. */
export const DEFAULT_EXPECTED_OUTPUT_TOKENS = 256;

/** Default number of backend servers that one dispatcher manages. */
export const DEFAULT_DISPATCH_GROUP_SIZE = 16;
