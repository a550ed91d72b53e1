/**
 * Who is there.
 *
 * @module
 */
import type { EntryHostIdentity, EntryHostView } from '../../domain/membership/types.js';

/** Reads what this entry host believes of the others and of itself. */
export abstract class MembershipView {
  /** This entry host. */
  abstract readonly self: EntryHostIdentity;

  /** @returns every known entry host, itself included */
  abstract listEntryHosts(): readonly EntryHostView[];

  /** @returns IDs that the host list has or that were heard of, reachable or not, its own included */
  abstract listListedIds(): readonly string[];

  /** @param incarnation - whose view. @returns it, unless that incarnation is gone or unknown */
  abstract findIncarnation(incarnation: string): EntryHostView | undefined;

  /** @param id - an entry host's name. @returns its newest known incarnation */
  abstract findEntryHost(id: string): EntryHostView | undefined;

  /**
   * Picks the entry host responsible for a key, by rendezvous hashing over the
   * live ones that do not leave.
   *
   * @param key - such as a dispatch group's ID
   * @returns the responsible one; itself when nobody else is live
   */
  abstract pickResponsible(key: string): EntryHostIdentity;

  /** @param backendServerId - which one. @returns whether anybody within reach says that it leaves */
  abstract isBackendServerLeaving(backendServerId: string): boolean;

  /** @returns whether this process may act on what it knows: false after a pause, until it was refreshed */
  abstract isFresh(): boolean;

  /** @returns whether this process was told to stop */
  abstract isStopping(): boolean;

  /** @param handler - called when the set of live entry hosts or of leaving backend servers changed */
  abstract onChange(handler: () => void): void;
}
