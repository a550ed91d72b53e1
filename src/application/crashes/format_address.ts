/**
 * Formats the address at which a backend server listens.
 *
 * @module
 */

const DEFAULT_HTTP_PORT = '80';

/**
 * @param url - URL of a backend server
 * @returns host name or IP address, and port
 */
export function formatAddress(url: string): string {
  const { hostname, port } = new URL(url);
  return `${hostname}:${port || DEFAULT_HTTP_PORT}`;
}
