/**
 * Has the replicas of a soak run bear few refusals, and ends those that must refuse more.
 *
 * @module
 */
import type { TestReplica } from '../platform/test/replica.js';

/** Refusals a second that a replica bears while all bear few. */
const BORNE_REFUSALS = 2;

/** Sets the limit of all replicas, also of those that start later. */
export class RefusalLimit {
  /** IDs of the replicas that had to turn away more requests than they bear. */
  readonly overfilledIds: string[] = [];

  readonly #slots: readonly { readonly replica: TestReplica }[];

  readonly #endReplica: (index: number) => void;

  #perSecond: number | undefined;

  /**
   * @param slots - the replicas at present
   * @param endReplica - ends the replica with an index as in a crash
   */
  constructor(
    slots: readonly { readonly replica: TestReplica }[],
    endReplica: (index: number) => void,
  ) {
    this.#slots = slots;
    this.#endReplica = endReplica;
  }

  /** Starts the limit. @returns function that ends it */
  start(): () => void {
    this.#set(BORNE_REFUSALS);
    return () => this.#set(undefined);
  }

  /** @param replica - a replica that has just been created */
  watch(replica: TestReplica): void {
    replica.limitRefusals(this.#perSecond);
    Object.assign(replica, { onOverfilled: () => this.#handleOverfilled(replica) });
  }

  #set(perSecond: number | undefined): void {
    this.#perSecond = perSecond;
    this.#slots.forEach(({ replica }) => replica.limitRefusals(perSecond));
  }

  #handleOverfilled(replica: TestReplica): void {
    if (this.overfilledIds.includes(replica.id)) return;
    this.overfilledIds.push(replica.id);
    this.#endReplica(this.#slots.findIndex((slot) => slot.replica === replica));
  }
}
