/**
 * Bounds the memory that buffers take outside the heap until they are collected:
 * `new BufferCollector({ maxBytes, stepBytes }).record(chunk.length)`.
 *
 * @module
 */
export { BufferCollector } from './buffer_collector.js';
export type { BufferCollectorOptions } from './buffer_collector.js';
