/**
 * Queries to an entry host that may be down or paused.
 *
 * @module
 */
import { exchange } from '../platform/test/fleet.js';

/**
 * Response timeout in milliseconds. A paused host still accepts connections but never responds, so
 * a query needs a limit of its own.
 */
const RESPONSE_TIMEOUT_MS = 1_000;

const HTTP_OK = 200;

/** A response to a query; the status is 0 if none arrived in time. */
export interface HostResponse {
  readonly status: number;
  readonly body: string;
}

/** Sends one query over a new connection. */
export function queryHost(address: string, target: string): Promise<HostResponse> {
  const timeout = new Promise<HostResponse>((resolve) => {
    setTimeout(() => resolve({ status: 0, body: '' }), RESPONSE_TIMEOUT_MS).unref();
  });
  return Promise.race([exchange(address, target, {}), timeout]);
}

/** Queries whether a host is ready to serve callers. */
export async function queryReady(readiness: string): Promise<boolean> {
  return (await queryHost(readiness, '/api/readyz')).status === HTTP_OK;
}

/** Queries the addresses that callers should use; empty if the host has none to offer. */
export async function queryAddresses(addressBook: string): Promise<readonly string[]> {
  const query = '/api/resolve?name=api.example&region=r&zone=z';
  const { status, body } = await queryHost(addressBook, query);
  return status === HTTP_OK ? (JSON.parse(body) as { addresses: string[] }).addresses : [];
}
