/**
 * Backend servers as a shared registry tells of them.
 *
 * @module
 */

/** One life of a backend server, from a start to its end. */
export interface BackendServerEntry {
  /** Names this life of the backend server; see {@link formatLife}. */
  readonly id: string;
  /** Name under which it is registered; a restart may keep it. */
  readonly serverId: string;
  /** When this life began, in milliseconds of Unix time; 0 where the registry doesn't say. */
  readonly bornAtMs: number;
  readonly serviceId: string;
  /** IP number and port. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Whether it has said that it leaves. */
  readonly isLeaving: boolean;
  /** How much longer it stays slow after its start, in milliseconds. */
  readonly warmupLeftMs: number;
}

/**
 * Names one life of a backend server. One that is started again under its former name
 * knows nothing of before; whatever is kept by life ends with the former one.
 *
 * @param serverId - name under which it is registered
 * @param bornAtMs - when the life began, in milliseconds of Unix time; 0: unknown
 * @returns the name of the life
 */
export function formatLife(serverId: string, bornAtMs: number): string {
  return bornAtMs === 0 ? serverId : `${serverId}@${bornAtMs}`;
}
