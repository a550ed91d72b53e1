/**
 * Replaces the replicas of a soak run one by one by ones of another software version.
 *
 * @module
 */

/** Software versions in the order of their releases; after the last one the first one returns. */
const VERSIONS = ['v1', 'rel-b', 'v0.9'];

/** Time between the ends of two replicas of a release, in milliseconds. */
const RELEASE_GAP_MS = 500;

/** The replicas of a run. */
export interface ReleasedReplicas {
  readonly replicas: readonly unknown[];
  schedule(delayMs: number, run: () => void): void;
  endReplica(index: number, isPlanned: boolean): void;
}

/** Names the version of replicas that start. */
export class VersionRelease {
  #released = 0;

  /** Software version of replicas that start now. */
  get version(): string {
    return VERSIONS[this.#released % VERSIONS.length] as string;
  }

  /**
   * Begins the next release: drains half of the replicas, one after the other. The others keep their
   * version until they end for another reason.
   *
   * @param fleet - the replicas
   * @param first - index of the first one
   */
  start(fleet: ReleasedReplicas, first: number): void {
    this.#released += 1;
    const count = Math.ceil(fleet.replicas.length / 2);
    for (let index = 0; index < count; index += 1) {
      fleet.schedule(index * RELEASE_GAP_MS, () => {
        fleet.endReplica((first + index) % fleet.replicas.length, true);
      });
    }
  }
}
