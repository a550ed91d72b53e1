/**
 * Holds the version of the program, which is compiled into the binary.
 *
 * @module
 */

/** Version of the program. A test checks that it equals the version in package.json. */
export const VERSION = '0.1.0';
