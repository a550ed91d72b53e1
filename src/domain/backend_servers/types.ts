/**
 * Backend servers as a shared registry tells of them.
 *
 * @module
 */

/** One life of a backend server: a restart gives it another ID. */
export interface BackendServerEntry {
  /** Names this life of the backend server. */
  readonly id: string;
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
