/**
 * Defines a probe that checks whether a process listens at a backend server's address.
 *
 * @module
 */

/** Outcome of an attempt to connect. */
export enum Reachability {
  /** The connection was accepted: some process listens there. */
  Open = 'open',
  /** The connection was refused: the machine is reachable, but no process listens there. */
  Refused = 'refused',
  /** Neither: the machine is unreachable or overloaded. */
  Unknown = 'unknown',
}

/** Probes an address by opening a connection without sending a request. */
export abstract class ServerProbe {
  /**
   * @param address - IP address and port
   * @returns the outcome; the promise never rejects
   */
  abstract check(address: string): Promise<Reachability>;
}
