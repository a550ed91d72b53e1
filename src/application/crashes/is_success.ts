/**
 * Which answers show that a request was run to its end.
 *
 * @module
 */

const FIRST_SUCCESS = 200;
const FIRST_CLIENT_ERROR = 400;

/**
 * @param status - HTTP status of a whole answer
 * @returns whether the request was run to a good end; an error may come before anything of it is run
 */
export function isSuccess(status: number): boolean {
  return status >= FIRST_SUCCESS && status < FIRST_CLIENT_ERROR;
}
