/**
 * Decides from what hosts found at a backend server's address why a host can't connect to it.
 *
 * @module
 */

/** What one peer found that was asked about a backend server. */
export interface PeerObservation {
  /** Incarnation of the peer. */
  readonly peer: string;
  /** Whether the peer could connect; undefined if it did not answer. */
  readonly hasConnected: boolean | undefined;
  /**
   * Whether the peer could connect to another server at that time; undefined if it did not say, or
   * knows no other.
   */
  readonly reachesOthers: boolean | undefined;
}

/**
 * Number of peers whose own links work that must have failed to connect: each of them may be cut
 * off from just this server.
 */
const MIN_RELIABLE_PEERS = 2;

/** Why a host can't connect to a backend server. */
export enum PathVerdict {
  /** A peer can: this host's path is cut. */
  Cut = 'cut',
  /** A peer whose own links work can't either. */
  Unreachable = 'unreachable',
  /** Nobody was asked whose word counts. */
  Undecided = 'undecided',
}

/**
 * Derives the verdict. That a peer can connect always counts; that it can't counts only if it
 * could connect to another server, since it may have lost its links as well:
 *
 * | the peer connects | it reaches others | counts for           |
 * | ----------------- | ----------------- | -------------------- |
 * | yes               | any               | a cut path, at once  |
 * | no                | yes               | an unreachable server |
 * | no                | no, or unknown    | nothing              |
 * | no answer         | any               | nothing              |
 *
 * @param observations - what peers found, each within the time of one check
 * @param isComplete - whether nobody else can be asked, so that one peer is enough. Default: false
 * @returns the verdict
 */
export function derivePathVerdict(
  observations: readonly PeerObservation[],
  isComplete = false,
): PathVerdict {
  if (observations.some(({ hasConnected }) => hasConnected === true)) return PathVerdict.Cut;
  const reliable = observations.filter(
    ({ hasConnected, reachesOthers }) => hasConnected === false && reachesOthers === true,
  );
  const requiredCount = isComplete ? 1 : MIN_RELIABLE_PEERS;
  return reliable.length >= requiredCount ? PathVerdict.Unreachable : PathVerdict.Undecided;
}

/**
 * @param observations - what peers found
 * @returns whether any of them reaches a backend server
 */
export function hasReachingPeer(observations: readonly PeerObservation[]): boolean {
  return observations.some(
    ({ hasConnected, reachesOthers }) => hasConnected === true || reachesOthers === true,
  );
}
