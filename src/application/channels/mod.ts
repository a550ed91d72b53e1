/**
 * Provides typed channels and processes on top of `js-csp`, such as
 * `startProcess(function* () { const item = yield* channel.take(); … })`. No
 * other module of the application imports the library.
 *
 * @module
 */
export { Channel, CLOSED, Overflow } from './channel.js';
export type { ChannelOptions } from './channel.js';
export { settle, startProcess } from './process.js';
export type { Step } from './process.js';
export { Signal } from './signal.js';
