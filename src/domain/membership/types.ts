/**
 * Identity and state of entry hosts.
 *
 * @module
 */

/** Identity that an entry host announces; each process start creates a new one. */
export interface EntryHostIdentity {
  /** Configured name, which stays the same across restarts. */
  readonly id: string;
  /** Random ID of the process in lower-case hex, chosen at each start. */
  readonly incarnation: string;
  /** Base URL of the listener for callers. */
  readonly url: string;
  /** URL of the listener for peers (`ws://…`). */
  readonly peerUrl: string;
  readonly availabilityZone: string;
  /**
   * Whether it keeps records of where streams began; undefined in a version that doesn't, and would
   * drop the link for one.
   */
  readonly keepsStreamOrigins?: boolean | undefined;
  /**
   * Whether its requests through peers outlive a link; undefined in a version that doesn't know the
   * messages for that, and would drop the link for one.
   */
  readonly resumesExchanges?: boolean | undefined;
}

/** State of a peer as an entry host sees it. */
export enum PeerState {
  Live = 'live',
  /** Running, but not serving callers yet: gets no new work. */
  Starting = 'starting',
  /** Silent for longer than the suspicion timeout: gets no new work. */
  Suspected = 'suspected',
  /** Stopping, according to the peer itself or the host list. */
  Leaving = 'leaving',
}

/** One entry host, possibly this process itself, as this process sees it now. */
export interface EntryHostView {
  readonly identity: EntryHostIdentity;
  readonly state: PeerState;
  /** Time since the last message from the entry host, in milliseconds; 0 for this process. */
  readonly silentMs: number;
}
