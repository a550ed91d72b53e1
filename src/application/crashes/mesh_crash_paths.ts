/**
 * Routes crash notes between entry hosts that are all linked with each other.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type { PeerNetwork, RandomSource } from '../../ports/mod.js';
import { CrashPaths } from './crash_paths.js';

const CRASH_NUMBER_BYTES = 6;

/** Separates the server's ID from the random number of the crash. */
const SEPARATOR = '#';

/** Options of {@link MeshCrashPaths}. */
export interface MeshCrashPathsOptions {
  /** Links to all other entry hosts. */
  readonly peers: PeerNetwork;
  readonly random: RandomSource;
  /** ID of this entry host. */
  readonly selfId: string;
  /** @param serverId - a server. @returns its address, unless it is removed or draining */
  readonly findAddress: (serverId: string) => string | undefined;
}

/**
 * Sends crash notes from each entry host to all others. A server keeps its ID when it restarts, so
 * the entry host that first finds a crash adds a random number to the ID.
 */
export class MeshCrashPaths extends CrashPaths {
  readonly #options: MeshCrashPathsOptions;

  /** @param options - dependencies */
  constructor(options: MeshCrashPathsOptions) {
    super();
    this.#options = options;
  }

  override get selfId(): string {
    return this.#options.selfId;
  }

  override listHostIds(): readonly string[] {
    return this.#options.peers.listLinkedPeers().map(({ id }) => id);
  }

  override listTargets(): readonly EntryHostIdentity[] {
    return this.#options.peers.listLinkedPeers();
  }

  override listForwardTargets(): readonly EntryHostIdentity[] {
    return [];
  }

  override createCrashId(serverId: string): string {
    return `${serverId}${SEPARATOR}${this.#options.random.nextHex(CRASH_NUMBER_BYTES)}`;
  }

  override findAddress(serverId: string): string | undefined {
    return this.#options.findAddress(serverId);
  }

  override readServerId(crashId: string): string {
    const separatorIndex = crashId.lastIndexOf(SEPARATOR);
    return separatorIndex < 0 ? crashId : crashId.slice(0, separatorIndex);
  }
}
