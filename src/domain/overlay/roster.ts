/**
 * Entry hosts as one of them knows all.
 *
 * @module
 */
import type { EntryHostIdentity } from '../membership/mod.js';
import { KnownHost } from './_known_host.js';
import { RevisionLists, RosterList } from './_revision_lists.js';
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

  readonly #heardAtMs = new Map<string, number>();

  /** Those of them that weren't silent when last looked at. */
  readonly #live = new Set<string>();

  /** Incarnations that report here as members, and those that did. */
  readonly #members = new Set<string>();

  #self: HostState;

  #selfRevision = 1;

  /** Lists that were made at the present revision; asked for with each report and each round. */
  readonly #lists = new RevisionLists();

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
    this.#heardAtMs.set(source, nowMs);
    if (this.#live.has(source)) return;
    this.#live.add(source);
    // Only changes are told: whom it vouched for before its silence isn't named again.
    this.#known.forEach((known) => {
      if (known.findVoucher(source) === false) known.setVoucher(source, true, nowMs);
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
    const { state, isHeard } = entry;
    const { id, incarnation } = state.identity;
    if (id === this.#self.identity.id) return false;
    const known = this.#known.get(id);
    const isSame = known?.state.identity.incarnation === incarnation;
    if (known && !isSame && !known.isReplacedBy(entry)) return false;
    const target = known && isSame ? known : this.#add(state, nowMs);
    target.updateState(state);
    if (isHeard) {
      this.#live.add(source);
      target.setVoucher(source, true, nowMs);
    } else target.removeVoucher(source, nowMs);
    return !isSame;
  }

  /**
   * Finds who has been silent for too long.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns entry hosts that are newly silent, and those that are forgotten
   */
  expire(nowMs: number): RosterExpiry {
    const silent: HostState[] = [];
    const forgotten: HostState[] = [];
    const stale = this.#takeStale(nowMs);
    this.#known.forEach((known, id) => {
      const wasHeard = known.isHeard;
      stale
        .filter((source) => known.findVoucher(source) === true)
        .forEach((source) => known.setVoucher(source, false, nowMs));
      if (known.isHeard) return;
      if (wasHeard) silent.push(known.state);
      if (nowMs - known.silentSinceMs <= FORGET_AFTER_MS) return;
      this.#known.delete(id);
      this.#members.delete(known.state.identity.incarnation);
      this.#revision += 1;
      forgotten.push(known.state);
    });
    this.#heardAtMs.forEach((atMs, source) => {
      if (nowMs - atMs > FORGET_AFTER_MS) this.#heardAtMs.delete(source);
    });
    return { silent, forgotten };
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
    if (this.knowsProcess(member)) this.#known.get(member.id)?.noteChange();
  }

  /** @returns peers that are heard */
  listHeard(): readonly HostState[] {
    return this.#list(RosterList.Heard, ({ isHeard }) => isHeard);
  }

  /** @returns how many peers are heard and serve callers */
  countServing(): number {
    const isServing = (known: KnownHost): boolean => known.isHeard && known.state.isServing;
    return this.#list(RosterList.Serving, isServing).length;
  }

  /** @returns peers that are heard, and those that others have told of and nobody was silent about */
  listPresumed(): readonly HostState[] {
    return this.#list(RosterList.Presumed, ({ isHeard, wasHeard }) => isHeard || !wasHeard);
  }

  /** @returns all peers that are known */
  listKnown(): readonly HostState[] {
    return this.#list(RosterList.Known, () => true);
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
   * @param after - revision that it has; 0: none
   * @param isForMember - whether the receiver hears of everybody through this process;
   *   else this process speaks for its members, and others for all others
   * @returns entries; a receiver that has nothing yet is told of all that are heard
   */
  listChanges(after: number, isForMember: boolean): RosterEntry[] {
    if (after >= this.#revision) return [];
    const changed = [...this.#known.values()]
      .filter(({ revision }) => revision > after)
      .flatMap((known) => {
        const { state, isHeard } = known;
        const { incarnation } = state.identity;
        if (isForMember) return [{ state, isHeard }];
        if (this.#members.has(incarnation)) {
          return [{ state, isHeard: known.findVoucher(incarnation) === true }];
        }
        // Others vouch for these: it is enough to know of them.
        return after === 0 && isHeard ? [{ state, isHeard: false }] : [];
      });
    return this.#selfRevision > after
      ? [{ state: this.#self, isHeard: true }, ...changed]
      : changed;
  }

  #add(state: HostState, nowMs: number): KnownHost {
    const known = new KnownHost(state, nowMs, () => {
      this.#revision += 1;
      return this.#revision;
    });
    this.#known.set(state.identity.id, known);
    return known;
  }

  /** Processes that were heard when last looked at, and have been silent for too long since. */
  #takeStale(nowMs: number): readonly string[] {
    const stale = [...this.#live].filter((source) => !this.#isFresh(source, nowMs));
    stale.forEach((source) => this.#live.delete(source));
    return stale;
  }

  #isFresh(source: string, nowMs: number): boolean {
    return nowMs - (this.#heardAtMs.get(source) ?? -Infinity) <= SILENT_AFTER_MS;
  }

  #list(name: RosterList, isWanted: (known: KnownHost) => boolean): readonly HostState[] {
    return this.#lists.take(name, this.#revision, () =>
      [...this.#known.values()].filter(isWanted).map(({ state }) => state),
    );
  }
}
