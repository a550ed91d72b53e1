/**
 * Read access to the membership of entry hosts and to the state of this one.
 *
 * @module
 */
import type { EntryHostIdentity, EntryHostView } from '../../domain/membership/types.js';

/** Reads the view that this entry host has of all entry hosts, itself included. */
export abstract class MembershipView {
  /** This entry host. */
  abstract readonly self: EntryHostIdentity;

  /** @returns all known entry hosts, this one included */
  abstract listEntryHosts(): readonly EntryHostView[];

  /**
   * @returns IDs of the entry hosts that are in the host list or known from peers, whether
   *   reachable or not, the own ID included
   */
  abstract listKnownIds(): readonly string[];

  /** @param incarnation - an incarnation. @returns its view; undefined if unknown or replaced */
  abstract findIncarnation(incarnation: string): EntryHostView | undefined;

  /** @param id - an entry host's ID. @returns the view of its newest known incarnation */
  abstract findEntryHost(id: string): EntryHostView | undefined;

  /**
   * Picks the entry host responsible for a key by rendezvous hashing over the live
   * entry hosts that aren't draining.
   *
   * @param key - the key, such as a dispatch group's ID
   * @returns the responsible entry host; this one if no other is live
   */
  abstract pickResponsible(key: string): EntryHostIdentity;

  /**
   * @param backendServerId - a backend server's ID
   * @returns whether any reachable entry host reports the backend server as draining
   */
  abstract isBackendServerLeaving(backendServerId: string): boolean;

  /**
   * @returns whether this process may act on its view; false after a pause of the process,
   *   until the view has been refreshed
   */
  abstract isFresh(): boolean;

  /** @returns whether this process has been asked to stop */
  abstract isStopping(): boolean;

  /** @param handler - called when the live entry hosts or the draining backend servers change */
  abstract onChange(handler: () => void): void;
}
