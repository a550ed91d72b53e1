/**
 * Random numbers of the operating system: `new SystemRandom().nextBytes(16)`.
 *
 * @module
 */
export { SystemRandom } from './system_random.js';
