/**
 * The roster: the entry hosts that one of them knows, including hosts known through relays.
 *
 * @module
 */
import type { EntryHostIdentity } from '../membership/mod.js';
import { KnownHost } from './_known_host.js';
import { LiveSources } from './_live_sources.js';
import { RevisionCache, RosterListName } from './_revision_cache.js';
import type { HostState, OwnState, RosterEntry } from './types.js';

/**
 * Silence after which an entry host counts as gone, in milliseconds: six report intervals.
 * Callers are not sent to a host that has been silent for longer.
 */
export const PEER_TIMEOUT_MS = 900;

/**
 * Time from then on after which the duties of a silent host pass to others, in milliseconds. Most
 * pauses of a process are over by then, so that few duties are passed on twice.
 */
const ABSENT_AFTER_MS = 1_000;

/** Silence after which a host is forgotten, in milliseconds; a restart takes a few seconds. */
const FORGET_AFTER_MS = 20_000;

/** Entry hosts that fell silent or were forgotten in one check. */
export interface RosterExpiry {
  readonly silent: readonly HostState[];
  readonly forgotten: readonly HostState[];
}

/** Record to which a received entry applies. */
interface EntryTarget {
  readonly known: KnownHost;
  /** Whether the entry's process differs from the host's current one. */
  readonly isNew: boolean;
}

/**
 * Tracks the known entry hosts, the processes that report each of them, and the revision of
 * each host's last change.
 *
 * An entry host that moves from one relay to another is briefly reported by both, and the
 * previous relay reports it silent after the new one has reported it as heard. The host counts
 * as heard while any live process reports it, so that the move does not make it disappear.
 */
export class Roster {
  readonly #known = new Map<string, KnownHost>();

  /** By host ID: a second process, which replaces the current one when that falls silent. */
  readonly #alternates = new Map<string, KnownHost>();

  readonly #sources = new LiveSources(PEER_TIMEOUT_MS);

  /** Incarnations that are or were members, that is, use this process as their relay. */
  readonly #members = new Set<string>();

  #self: HostState;

  #selfRevision = 1;

  /** Lists of the current revision, which are read with each report and each report round. */
  readonly #listCache = new RevisionCache();

  #revision = 1;

  /** @param self - state that this process announces about itself */
  constructor(self: HostState) {
    this.#self = self;
  }

  /** Number that rises with each change. */
  get revision(): number {
    return this.#revision;
  }

  /** Number of known entry hosts, this one included. */
  get size(): number {
    return this.#known.size + 1;
  }

  /** State that this process announces about itself. */
  get self(): HostState {
    return this.#self;
  }

  /** @param changes - state of this process; its version rises only if a value differs */
  updateSelf(changes: OwnState): void {
    const keys = Object.keys(changes) as (keyof OwnState)[];
    if (keys.every((key) => changes[key] === this.#self[key])) return;
    this.#self = { ...this.#self, ...changes, version: this.#self.version + 1 };
    this.#revision += 1;
    this.#selfRevision = this.#revision;
  }

  /** @param source - sender of a report. @param nowMs - monotonic time in milliseconds */
  recordContact(source: string, nowMs: number): void {
    if (!this.#sources.recordContact(source, nowMs)) return;
    // Reports contain changes only, so hosts reported before the silence are not repeated.
    [...this.#known.values(), ...this.#alternates.values()].forEach((known) => {
      if (known.isReporterLive(source) === false) known.setReporter(source, true, nowMs);
    });
  }

  /**
   * Applies an entry that a process has sent about an entry host.
   *
   * @param source - incarnation of the sender
   * @param entry - the entry
   * @param nowMs - monotonic time in milliseconds
   * @returns whether the entry's process has become the current one of its host
   */
  applyEntry(source: string, entry: RosterEntry, nowMs: number): boolean {
    const { id } = entry.state.identity;
    if (id === this.#self.identity.id) return false;
    const target = this.#pickTarget(source, entry, nowMs);
    if (!target) return false;
    const { known, isNew } = target;
    known.updateState(entry.state);
    if (entry.isHeard) {
      this.#sources.add(source);
      known.setReporter(source, true, nowMs);
    } else known.removeReporter(source, nowMs);
    this.#promoteAlternate(id);
    return isNew && this.#known.get(id) === known;
  }

  /**
   * Checks for silent entry hosts, and forgets those that have been silent for long.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns entry hosts that have fallen silent, and those that were forgotten
   */
  removeExpired(nowMs: number): RosterExpiry {
    const newlySilent: HostState[] = [];
    const forgotten: HostState[] = [];
    const silentSources = this.#sources.takeSilent(nowMs);
    this.#known.forEach((known, id) => {
      const wasHeard = known.isHeard;
      if (silentSources.length > 0) {
        known.markReportersSilent(silentSources, nowMs);
        this.#alternates.get(id)?.markReportersSilent(silentSources, nowMs);
      }
      if (known.isHeard || this.#promoteAlternate(id)) return;
      if (wasHeard) newlySilent.push(known.state);
      if (nowMs - known.silentSinceMs <= FORGET_AFTER_MS) return;
      this.#known.delete(id);
      this.#alternates.delete(id);
      this.#members.delete(known.state.identity.incarnation);
      this.#revision += 1;
      forgotten.push(known.state);
    });
    this.#sources.forget(nowMs - FORGET_AFTER_MS);
    return { silent: newlySilent, forgotten };
  }

  /**
   * Adds a member, which this process reports to other relays from now on. Receivers are sent
   * its entry again, since an earlier one did not report the host as heard.
   *
   * @param member - identity of the member's process
   */
  addMember(member: EntryHostIdentity): void {
    if (this.#members.has(member.incarnation)) return;
    this.#members.add(member.incarnation);
    if (this.knowsProcess(member)) this.#known.get(member.id)?.bumpRevision();
  }

  /** @returns peers that are heard */
  listHeard(): readonly HostState[] {
    return this.#listCached(RosterListName.Heard, ({ isHeard }) => isHeard);
  }

  /** @returns how many peers are heard and serve callers */
  countServing(): number {
    const isServing = (known: KnownHost): boolean => known.isHeard && known.state.isServing;
    return this.#listCached(RosterListName.Serving, isServing).length;
  }

  /** @returns peers that are heard, and announced peers that were never heard so far */
  listPresumedLive(): readonly HostState[] {
    return this.#listCached(
      RosterListName.Presumed,
      ({ isHeard, hasBeenHeard }) => isHeard || !hasBeenHeard,
    );
  }

  /** @returns all known peers */
  listKnown(): readonly HostState[] {
    return this.#listCached(RosterListName.Known, () => true);
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns known peers that are neither leaving nor silent for long
   */
  listPresent(nowMs: number): readonly HostState[] {
    return [...this.#known.values()]
      .filter(({ isHeard, silentSinceMs }) => isHeard || nowMs - silentSinceMs < ABSENT_AFTER_MS)
      .map(({ state }) => state)
      .filter(({ isLeaving }) => !isLeaving);
  }

  /** @param id - an entry host's ID. @returns whether it is heard */
  isHeard(id: string): boolean {
    return this.#known.get(id)?.isHeard === true;
  }

  /** @param id - a peer's ID. @returns state of its current process; undefined if unknown */
  find(id: string): HostState | undefined {
    return this.#known.get(id)?.state;
  }

  /** @param identity - a process. @returns whether it is the current one of its host */
  knowsProcess({ id, incarnation }: EntryHostIdentity): boolean {
    return this.find(id)?.identity.incarnation === incarnation;
  }

  /**
   * Lists the entries that have changed since a receiver's revision.
   *
   * @param afterRevision - last revision that the receiver has; 0 if none
   * @param isForMember - whether the receiver is a member, which receives all hosts through
   *   this process; for other receivers this process reports only its own members as heard
   * @returns the entries; a receiver without a revision gets all hosts that are heard
   */
  listChanges(afterRevision: number, isForMember: boolean): RosterEntry[] {
    if (afterRevision >= this.#revision) return [];
    const changed = [...this.#known.values()]
      .filter(({ revision }) => revision > afterRevision)
      .flatMap((known) => {
        const { state, isHeard } = known;
        const { incarnation } = state.identity;
        if (isForMember) return [{ state, isHeard }];
        if (this.#members.has(incarnation)) {
          return [{ state, isHeard: known.isReporterLive(incarnation) === true }];
        }
        // Other relays report these hosts as heard; the receiver only learns that they exist.
        return afterRevision === 0 && isHeard ? [{ state, isHeard: false }] : [];
      });
    return this.#selfRevision > afterRevision
      ? [{ state: this.#self, isHeard: true }, ...changed]
      : changed;
  }

  /**
   * Finds the record for an entry. Of two processes of one host, one has ended. The wall clock
   * tells which one only if it was not set back, so a process that reports itself directly is
   * the current one, and the later start decides between processes that were only announced.
   * The other process is kept as the alternate until the current one is silent, since its entry
   * is not sent again while nothing changes.
   */
  #pickTarget(source: string, entry: RosterEntry, nowMs: number): EntryTarget | undefined {
    const { id, incarnation } = entry.state.identity;
    const current = this.#known.get(id);
    if (current?.incarnation === incarnation) return { known: current, isNew: false };
    const alternate = this.#alternates.get(id);
    const isAlternate = alternate?.incarnation === incarnation;
    const isCurrent =
      !current || source === incarnation || (!current.reportsItself && current.isReplacedBy(entry));
    if (isAlternate && !isCurrent) return { known: alternate, isNew: true };
    if (!isCurrent && !entry.isHeard) return undefined;
    const known = isAlternate ? alternate : this.#createKnownHost(entry.state, nowMs);
    if (!isCurrent) this.#alternates.set(id, known);
    else {
      this.#known.set(id, known);
      if (current?.isHeard) this.#alternates.set(id, current);
      else this.#alternates.delete(id);
    }
    return { known, isNew: true };
  }

  /** Replaces a silent process by an alternate that is heard. @returns whether it did so */
  #promoteAlternate(id: string): boolean {
    const alternate = this.#alternates.get(id);
    if (!alternate?.isHeard || this.#known.get(id)?.isHeard) return false;
    this.#alternates.delete(id);
    this.#known.set(id, alternate);
    alternate.bumpRevision();
    return true;
  }

  #createKnownHost(state: HostState, nowMs: number): KnownHost {
    return new KnownHost(state, nowMs, () => {
      this.#revision += 1;
      return this.#revision;
    });
  }

  #listCached(name: RosterListName, isWanted: (known: KnownHost) => boolean): readonly HostState[] {
    return this.#listCache.getOrBuild(name, this.#revision, () =>
      [...this.#known.values()].filter(isWanted).map(({ state }) => state),
    );
  }
}
