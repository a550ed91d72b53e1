/**
 * Backend server entries as read from the shared registry.
 *
 * @module
 */
import type { SoftwareVersion } from '../streams/mod.js';

/** One incarnation of a backend server, from a start of its process to its end. */
export interface BackendServerEntry {
  /** ID of this incarnation; see {@link formatIncarnationId}. */
  readonly id: string;
  /** Name under which the server is registered; it may survive a restart. */
  readonly serverId: string;
  /** Start time of this incarnation in Unix milliseconds; 0 if the registry doesn't hold it. */
  readonly bornAtMs: number;
  readonly serviceId: string;
  /** IP address and port. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Number of requests that the server runs concurrently. */
  readonly slots: number;
  /** Whether the server has announced that it is shutting down. */
  readonly isLeaving: boolean;
  /** Software that the incarnation runs; undefined if its entry names none. */
  readonly softwareVersion?: SoftwareVersion | undefined;
  /** Remaining warmup time after the start, in milliseconds. */
  readonly warmupLeftMs: number;
}

/**
 * Builds the ID of one incarnation of a backend server. A server that restarts under the same
 * name has lost its memory and its requests, so state kept by incarnation ID ends with the old
 * process.
 *
 * @param serverId - name under which the server is registered
 * @param bornAtMs - start time of the incarnation in Unix milliseconds; 0 if unknown
 * @returns the ID of the incarnation
 */
export function formatIncarnationId(serverId: string, bornAtMs: number): string {
  return bornAtMs === 0 ? serverId : `${serverId}@${bornAtMs}`;
}
