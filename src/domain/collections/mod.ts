/**
 * Collections with a bounded number of entries: `new RecentKeys<number>(100).set('a', 1)`.
 *
 * @module
 */
export { RecentKeys } from './recent_keys.js';
