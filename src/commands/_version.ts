/**
 * The program's version, compiled into the binary.
 *
 * @module
 */

/** The version; a test compares it with package.json. */
export const VERSION = '0.1.0';
