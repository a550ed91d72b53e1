/**
 * Collections with a bounded size: `new BoundedMap<number>(100).set('a', 1)`.
 *
 * @module
 */
export { BoundedMap } from './bounded_map.js';
export { ByteChunks } from './byte_chunks.js';
