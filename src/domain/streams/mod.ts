/**
 * Event streams that another backend server can continue:
 * `new EventSplitter().split(chunk).bytes` contains complete events only.
 *
 * @module
 */
export { EventSplitter } from './event_splitter.js';
export type { CompleteEvents } from './event_splitter.js';
