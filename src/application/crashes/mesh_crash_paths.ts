/**
 * Word of crashes between entry hosts that are all linked with each other.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type { PeerNetwork, RandomSource } from '../../ports/mod.js';
import { CrashPaths } from './crash_paths.js';

const NUMBER_BYTES = 6;

/** Parts a server's name from the number of its end. */
const SEPARATOR = '#';

/** What the paths need. */
export interface MeshCrashPathsOptions {
  /** Links to all other entry hosts. */
  readonly peers: PeerNetwork;
  readonly random: RandomSource;
  /** Name of this entry host. */
  readonly selfId: string;
  /** @param serverId - a server. @returns its address, unless it is gone or leaves */
  readonly findAddress: (serverId: string) => string | undefined;
}

/**
 * Everybody tells everybody. A server keeps its name when it starts again, so each of its ends
 * gets a random number from whoever finds it first.
 */
export class MeshCrashPaths extends CrashPaths {
  readonly #options: MeshCrashPathsOptions;

  /** @param options - what the paths need */
  constructor(options: MeshCrashPathsOptions) {
    super();
    this.#options = options;
  }

  override get selfId(): string {
    return this.#options.selfId;
  }

  override listHostIds(): readonly string[] {
    return this.#options.peers.listLinked().map(({ id }) => id);
  }

  override listTargets(): readonly EntryHostIdentity[] {
    return this.#options.peers.listLinked();
  }

  override listFurther(): readonly EntryHostIdentity[] {
    return [];
  }

  override createCrashId(serverId: string): string {
    return `${serverId}${SEPARATOR}${this.#options.random.nextHex(NUMBER_BYTES)}`;
  }

  override findAddress(serverId: string): string | undefined {
    return this.#options.findAddress(serverId);
  }

  override readServerId(crashId: string): string {
    const end = crashId.lastIndexOf(SEPARATOR);
    return end < 0 ? crashId : crashId.slice(0, end);
  }
}
