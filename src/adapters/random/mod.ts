/**
 * Provides random numbers and bytes: `new SystemRandom().nextBytes(16)`.
 *
 * @module
 */
export { SystemRandom } from './system_random.js';
