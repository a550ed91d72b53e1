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

/** Why an address is probed. */
export enum ProbeCause {
  /** A request to the server could not be sent, or brought no sign of it. */
  Doubt = 'doubt',
  /** Another server turned out to be out of reach. */
  Sweep = 'sweep',
  /** The path to the server was cut, and may be back. */
  CutPath = 'cut_path',
  /** Whether this host reaches any server over its own links. */
  OwnReach = 'own_reach',
  /** A peer can't connect to the server. */
  Peer = 'peer',
  /** A run at the server was lost. */
  LostRun = 'lost_run',
  /** The server has closed the connection of an answer that nothing marked as complete. */
  UnmarkedEnd = 'unmarked_end',
}

/** Probes an address by opening a connection without sending a request. */
export abstract class ServerProbe {
  /**
   * @param address - IP address and port
   * @param cause - why it is probed
   * @returns the outcome; the promise never rejects
   */
  abstract check(address: string, cause: ProbeCause): Promise<Reachability>;
}
