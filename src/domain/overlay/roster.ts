/**
 * Entry hosts as one of them knows all.
 *
 * @module
 */
import type { EntryHostIdentity } from '../membership/mod.js';
import { KnownHost } from './_known_host.js';
import { RevisionCache, RosterListName } from './_revision_lists.js';
import type { HostState, RosterEntry } from './types.js';

/**
 * Silence after which an entry host counts as gone, in milliseconds: six reports.
 * Callers are sent to nobody who has been silent for longer.
 */
export const SILENT_AFTER_MS = 900;

/** Silence after which an entry host is forgotten, in milliseconds; a restart takes some seconds. */
const FORGET_AFTER_MS = 20_000;

/** What time has brought. */
export interface RosterExpiry {
  readonly silent: readonly HostState[];
  readonly forgotten: readonly HostState[];
}

/** Whom an entry is about. */
interface EntryTarget {
  readonly known: KnownHost;
  /** Whether it is another process than the one that was known. */
  readonly isNew: boolean;
}

/**
 * Who is there, by whose word, and what has changed since when.
 *
 * An entry host that moves from one relay to another is for a moment vouched for by
 * both, and the former reports it silent after it has long been heard again. It counts
 * as heard while anybody who is heard vouches for it, so that a move makes nobody
 * disappear.
 */
export class Roster {
  readonly #known = new Map<string, KnownHost>();

  /** Other processes of known hosts, by the hosts' names. */
  readonly #alternates = new Map<string, KnownHost>();

  readonly #lastContactAtMs = new Map<string, number>();

  /** Those of them that weren't silent when last looked at. */
  readonly #liveSources = new Set<string>();

  /** Incarnations that report here as members, and those that did. */
  readonly #members = new Set<string>();

  #self: HostState;

  #selfRevision = 1;

  /** Lists that were made at the present revision; asked for with each report and each round. */
  readonly #listCache = new RevisionCache();

  #revision = 1;

  /** @param self - what this process says of itself */
  constructor(self: HostState) {
    this.#self = self;
  }

  /** Rises with each change. */
  get revision(): number {
    return this.#revision;
  }

  /** Entry hosts that are known, this one included. */
  get size(): number {
    return this.#known.size + 1;
  }

  /** What this process says of itself. */
  get self(): HostState {
    return this.#self;
  }

  /** @param changes - what has changed about this process; its version rises only if something has */
  updateSelf(changes: Pick<HostState, 'isServing' | 'isInTouch' | 'isLeaving'>): void {
    const { isServing, isInTouch, isLeaving } = this.#self;
    const isSame =
      isServing === changes.isServing &&
      isInTouch === changes.isInTouch &&
      isLeaving === changes.isLeaving;
    if (isSame) return;
    this.#self = { ...this.#self, ...changes, version: this.#self.version + 1 };
    this.#revision += 1;
    this.#selfRevision = this.#revision;
  }

  /** @param source - incarnation that was heard. @param nowMs - monotonic time in milliseconds */
  noteHeard(source: string, nowMs: number): void {
    this.#lastContactAtMs.set(source, nowMs);
    if (this.#liveSources.has(source)) return;
    this.#liveSources.add(source);
    // Only changes are told: whom it vouched for before its silence isn't named again.
    [...this.#known.values(), ...this.#alternates.values()].forEach((known) => {
      if (known.isReporterLive(source) === false) known.setReporter(source, true, nowMs);
    });
  }

  /**
   * Takes in what a process says of an entry host.
   *
   * @param source - incarnation of who says it
   * @param entry - what it says
   * @param nowMs - monotonic time in milliseconds
   * @returns whether the entry host's process wasn't known before
   */
  apply(source: string, entry: RosterEntry, nowMs: number): boolean {
    const { id } = entry.state.identity;
    if (id === this.#self.identity.id) return false;
    const target = this.#pickTarget(source, entry, nowMs);
    if (!target) return false;
    const { known, isNew } = target;
    known.updateState(entry.state);
    if (entry.isHeard) {
      this.#liveSources.add(source);
      known.setReporter(source, true, nowMs);
    } else known.removeReporter(source, nowMs);
    this.#promoteAlternate(id);
    return isNew && this.#known.get(id) === known;
  }

  /**
   * Finds who has been silent for too long.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns entry hosts that are newly silent, and those that are forgotten
   */
  expire(nowMs: number): RosterExpiry {
    const newlySilent: HostState[] = [];
    const forgotten: HostState[] = [];
    const silentSources = this.#takeSilentSources(nowMs);
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
    this.#lastContactAtMs.forEach((atMs, source) => {
      if (nowMs - atMs > FORGET_AFTER_MS) this.#lastContactAtMs.delete(source);
    });
    return { silent: newlySilent, forgotten };
  }

  /**
   * Notes that this process speaks for another one from now on: receivers that were told
   * of it before, without that word, are told again.
   *
   * @param member - the member's process
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

  /** @returns peers that are heard, and those that others have told of and nobody was silent about */
  listPresumed(): readonly HostState[] {
    return this.#listCached(
      RosterListName.Presumed,
      ({ isHeard, hasBeenHeard: wasHeard }) => isHeard || !wasHeard,
    );
  }

  /** @returns all peers that are known */
  listKnown(): readonly HostState[] {
    return this.#listCached(RosterListName.Known, () => true);
  }

  /** @param id - an entry host's name. @returns whether it is heard */
  isHeard(id: string): boolean {
    return this.#known.get(id)?.isHeard === true;
  }

  /** @param id - an entry host's name. @returns its process */
  find(id: string): HostState | undefined {
    return this.#known.get(id)?.state;
  }

  /** @param identity - a process. @returns whether its entry host is known by it */
  knowsProcess({ id, incarnation }: EntryHostIdentity): boolean {
    return this.find(id)?.identity.incarnation === incarnation;
  }

  /**
   * Lists what a receiver hasn't seen.
   *
   * @param afterRevision - revision that it has; 0: none
   * @param isForMember - whether the receiver hears of everybody through this process;
   *   else this process speaks for its members, and others for all others
   * @returns entries; a receiver that has nothing yet is told of all that are heard
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
        // Others vouch for these: it is enough to know of them.
        return afterRevision === 0 && isHeard ? [{ state, isHeard: false }] : [];
      });
    return this.#selfRevision > afterRevision
      ? [{ state: this.#self, isHeard: true }, ...changed]
      : changed;
  }

  /**
   * Finds whom an entry is about. Of two processes of one host one is over. The wall clock says
   * which only as long as nobody sets it back, so the later start decides among those that are
   * only told of; whoever reports itself is there; and the other one is kept as a rival until
   * the present one is silent, since nobody tells of it again while nothing changes.
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

  /** Puts a rival that is heard in the place of a process that isn't. @returns whether it did */
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

  /** Processes that were heard when last looked at, and have been silent for too long since. */
  #takeSilentSources(nowMs: number): readonly string[] {
    const silentSources = [...this.#liveSources].filter((source) => !this.#isFresh(source, nowMs));
    silentSources.forEach((source) => this.#liveSources.delete(source));
    return silentSources;
  }

  #isFresh(source: string, nowMs: number): boolean {
    return nowMs - (this.#lastContactAtMs.get(source) ?? -Infinity) <= SILENT_AFTER_MS;
  }

  #listCached(name: RosterListName, isWanted: (known: KnownHost) => boolean): readonly HostState[] {
    return this.#listCache.getOrBuild(name, this.#revision, () =>
      [...this.#known.values()].filter(isWanted).map(({ state }) => state),
    );
  }
}
