/**
 * Streams of events that may go on at another backend server:
 * `new EventSplitter().split(chunk).bytes` holds whole events only.
 *
 * @module
 */
export { EventSplitter } from './event_splitter.js';
export type { CompleteEvents } from './event_splitter.js';
