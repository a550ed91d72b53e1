/**
 * Collections with a bounded number of entries: `new RecentKeys<number>(100).set('a', 1)`.
 *
 * @module
 */
export { BoundedMap } from './bounded_map.js';
