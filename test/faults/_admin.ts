/**
 * Reads the state of entry hosts from their administration listeners, and waits for changes.
 *
 * @module
 */
import { ADMIN_KEY, sendControl, sendJsonControl, waitUntil } from '../fleet/mod.js';
import type { EntryHost } from '../fleet/mod.js';

/** Timeout for conditions that usually take some seconds; a wait ends once they hold. */
export const WAIT_TIMEOUT_MS = 30_000;

/** The response of `/v1/configuration`. */
export interface ConfigurationReport {
  readonly revision: number;
  readonly hash: string;
  readonly platformIndex: number;
  readonly rejected: readonly {
    readonly key: string;
    readonly revision: number;
    readonly reasons: readonly string[];
  }[];
}

/**
 * Reads one resource from the administration listener of an entry host.
 *
 * @param host - the entry host
 * @param path - path, such as `/v1/configuration`
 * @returns the parsed response
 */
export function readAdmin<T>(host: EntryHost, path: string): Promise<T> {
  return sendJsonControl<T>(`${host.adminUrl}${path}`, {
    headers: { authorization: `Bearer ${ADMIN_KEY}` },
  });
}

/** Reads the configuration state of an entry host. @param host - it. @returns the state */
export function readConfiguration(host: EntryHost): Promise<ConfigurationReport> {
  return readAdmin(host, '/v1/configuration');
}

/** Checks the readiness of an entry host. @param host - it. @returns whether it serves callers */
export async function isReady(host: EntryHost): Promise<boolean> {
  return (await sendControl(`${host.adminUrl}/v1/readiness`)).status === 200;
}

/**
 * Checks whether an entry host knows that a backend server is draining.
 *
 * @param host - the entry host
 * @param backendServerId - ID of the backend server
 * @returns whether the entry host considers the server as draining
 */
export async function isLeavingAt(host: EntryHost, backendServerId: string): Promise<boolean> {
  const path = '/v1/backend-servers';
  const servers = await readAdmin<{ id: string; leaving: boolean }[]>(host, path);
  return servers.some(({ id, leaving }) => id === backendServerId && leaving);
}

/**
 * Waits until all entry hosts know that a backend server is draining.
 *
 * @param hosts - the entry hosts
 * @param backendServerId - ID of the backend server
 * @returns duration of the wait in milliseconds
 */
export function waitUntilLeaving(
  hosts: readonly EntryHost[],
  backendServerId: string,
): Promise<number> {
  return waitForAll(hosts, `${backendServerId} leaving at every entry host`, (host) =>
    isLeavingAt(host, backendServerId),
  );
}

/**
 * Waits until a condition holds at all entry hosts at once.
 *
 * @param hosts - the entry hosts
 * @param subject - name of the condition, for error messages
 * @param check - returns whether the condition holds at an entry host
 * @returns duration of the wait in milliseconds
 */
export async function waitForAll(
  hosts: readonly EntryHost[],
  subject: string,
  check: (host: EntryHost) => Promise<boolean>,
): Promise<number> {
  const startedAtMs = performance.now();
  const checkAll = async (): Promise<boolean> =>
    (await Promise.all(hosts.map(check))).every(Boolean);
  await waitUntil(checkAll, { subject, timeoutMs: WAIT_TIMEOUT_MS });
  return Math.round(performance.now() - startedAtMs);
}
