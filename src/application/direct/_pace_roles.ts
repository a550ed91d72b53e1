/**
 * Decides which entry hosts may send to a backend server that is paced.
 *
 * @module
 */
import type { HostState } from '../../domain/overlay/mod.js';
import { computePacePosition } from '../../domain/places/mod.js';

/** The entry hosts among which the right to send to a paced backend server is shared. */
export interface PaceHosts {
  /** ID of this entry host. */
  readonly selfId: string;
  /**
   * @returns all other known entry hosts, including silent ones; the same array until any of
   *   them changes
   */
  readonly listKnown: () => readonly HostState[];
  /**
   * @returns all other known entry hosts that are neither leaving nor silent for long; the same
   *   array until one of them comes or goes
   */
  readonly listPresent: () => readonly HostState[];
  /** @returns whether this entry host has been up for long enough to know all others */
  readonly isSettled: () => boolean;
  /** @returns whether it has, or hosts that have been up for so long know the same hosts */
  readonly isConfirmed: () => boolean;
}

interface CachedPosition {
  readonly hosts: readonly HostState[];
  readonly position: number;
}

/** Positions of this entry host among the senders of backend servers. */
export class PaceRoles {
  readonly #hosts: Pick<PaceHosts, 'selfId' | 'isSettled'>;

  readonly #listHosts: () => readonly HostState[];

  /** By incarnation ID. */
  readonly #positions = new Map<string, CachedPosition>();

  /**
   * @param hosts - this entry host
   * @param listHosts - lists the other entry hosts that share the servers; the same array until
   *   one of them changes
   */
  constructor(
    hosts: Pick<PaceHosts, 'selfId' | 'isSettled'>,
    listHosts: () => readonly HostState[],
  ) {
    this.#hosts = hosts;
    this.#listHosts = listHosts;
  }

  /**
   * @param id - a server incarnation
   * @param senderCount - number of hosts that share it
   * @returns whether this entry host is one of them
   */
  isSender(id: string, senderCount: number): boolean {
    return this.findPosition(id, senderCount) !== undefined;
  }

  /**
   * @param id - a server incarnation
   * @param senderCount - number of hosts that share it
   * @returns position of this entry host among them, from 0; undefined if it is none of them
   */
  findPosition(id: string, senderCount: number): number | undefined {
    if (!this.#hosts.isSettled()) return undefined;
    const position = this.#computePosition(id);
    return position < senderCount ? position : undefined;
  }

  /** @param id - ID of an incarnation that has ended */
  forget(id: string): void {
    this.#positions.delete(id);
  }

  #computePosition(id: string): number {
    const hosts = this.#listHosts();
    const cached = this.#positions.get(id);
    if (cached?.hosts === hosts) return cached.position;
    const { selfId } = this.#hosts;
    const hostIds = [selfId, ...hosts.map(({ identity }) => identity.id)];
    const position = computePacePosition(selfId, hostIds, id);
    this.#positions.set(id, { hosts, position });
    return position;
  }
}
