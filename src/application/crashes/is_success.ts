/**
 * Tells which answers show that a request was run successfully.
 *
 * @module
 */

const FIRST_SUCCESS = 200;
const FIRST_CLIENT_ERROR = 400;

/**
 * @param status - HTTP status of a complete answer
 * @returns whether the request succeeded; a server may send an error before it runs a request
 */
export function isSuccess(status: number): boolean {
  return status >= FIRST_SUCCESS && status < FIRST_CLIENT_ERROR;
}
