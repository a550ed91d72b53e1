/**
 * Entry hosts as they know each other.
 *
 * @module
 */

/** What an entry host tells of itself. It is new at each process start. */
export interface EntryHostIdentity {
  /** Name from the settings; the same after a restart. */
  readonly id: string;
  /** Random at each process start, in lower-case hex. */
  readonly incarnation: string;
  /** Base URL of the callers' listener. */
  readonly url: string;
  /** URL of the peers' listener (`ws://…`). */
  readonly peerUrl: string;
  readonly availabilityZone: string;
}

/** What an entry host believes of a peer. */
export enum PeerState {
  Live = 'live',
  /** Awake, but serves no callers yet: gets no new work. */
  Starting = 'starting',
  /** Silent for longer than the suspicion time: gets no new work. */
  Suspected = 'suspected',
  /** Said that it stops, or the host list says so. */
  Leaving = 'leaving',
}

/** One entry host, itself included, as this one sees it now. */
export interface EntryHostView {
  readonly identity: EntryHostIdentity;
  readonly state: PeerState;
  /** Time since anything was heard of it, in milliseconds; 0 for itself. */
  readonly silentMs: number;
}
