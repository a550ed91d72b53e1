/**
 * What differs between the two ways of a request through the entry hosts.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';

/** Whom word of crashes goes to, and how crashes are named. */
export abstract class CrashPaths {
  /** Name of this entry host. */
  abstract get selfId(): string;

  /** @returns names of all entry hosts that take calls, as far as this one knows */
  abstract listHostIds(): readonly string[];

  /** @returns peers that this entry host tells what happens here */
  abstract listTargets(): readonly EntryHostIdentity[];

  /**
   * @param from - a peer that has told something new
   * @returns peers that hear of it only through this entry host
   */
  abstract listFurther(from: EntryHostIdentity): readonly EntryHostIdentity[];

  /** @param serverId - a server that has ended. @returns a name for that, used by all entry hosts */
  abstract createCrashId(serverId: string): string;

  /**
   * @param serverId - a server that a peer has found to have ended
   * @returns its address, where this entry host is to see for itself
   */
  abstract findAddress(serverId: string): string | undefined;

  /** @param crashId - names a server's end. @returns the server */
  abstract readServerId(crashId: string): string;
}
