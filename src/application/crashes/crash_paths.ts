/**
 * Defines which peers exchange crash notes, and how crashes are identified.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';

/** Peers that receive crash notes, and IDs of crashes; differs between the two request paths. */
export abstract class CrashPaths {
  /** ID of this entry host. */
  abstract get selfId(): string;

  /** @returns IDs of all entry hosts that take calls, as far as this one knows */
  abstract listHostIds(): readonly string[];

  /** @returns peers that this entry host sends its own crash notes to */
  abstract listTargets(): readonly EntryHostIdentity[];

  /**
   * @param from - a peer that sent new crash notes
   * @returns peers that receive these notes only through this entry host
   */
  abstract listForwardTargets(from: EntryHostIdentity): readonly EntryHostIdentity[];

  /** @param serverId - server that crashed. @returns ID of the crash, used by all entry hosts */
  abstract createCrashId(serverId: string): string;

  /**
   * @param serverId - a server that a peer reported as crashed
   * @returns the server's address, where this entry host must check for itself
   */
  abstract findAddress(serverId: string): string | undefined;

  /** @param crashId - ID of a crash. @returns ID of the server that crashed */
  abstract readServerId(crashId: string): string;
}
