/**
 * Where streams began, as entry hosts tell each other: `origins.record(keys, origin)` before the first
 * event is sent, and `await resolver.resolve(question)` when a caller takes a stream up.
 *
 * @module
 */
export { OriginResolver, OriginSource } from './origin_resolver.js';
export type { OriginAnswer, OriginQuestion, OriginResolverOptions } from './origin_resolver.js';
export { StreamOrigins } from './stream_origins.js';
export type { StreamOriginsOptions } from './stream_origins.js';
