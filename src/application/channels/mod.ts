/**
 * Channels and processes on `js-csp`, with types. The rest of the application
 * imports nothing of the library:
 * `startProcess(function* () { const item = yield* channel.take(); … })`.
 *
 * @module
 */
export { Channel, CLOSED, Overflow } from './channel.js';
export type { ChannelOptions } from './channel.js';
export { settle, startProcess } from './process.js';
export type { Step } from './process.js';
export { Signal } from './signal.js';
