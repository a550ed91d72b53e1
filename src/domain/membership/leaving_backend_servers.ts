/**
 * Which backend servers are leaving, as far as anybody within reach knows.
 *
 * @module
 */
import type { HostList, ListedHost } from './host_list.js';
import { HostRole, HostState } from './host_list.js';

/** How long nobody must have repeated a note before an unchanged list entry may lift it. */
export const NOTE_STALE_AFTER_MS = 10_000;

/** For how long after the list showed a backend server live again load reports may be older. */
export const LOAD_REPORT_LAG_MS = 5_000;

const OWN_SOURCE = '';

/** Before the first list. */
const NO_LIST_INDEX = -1;
const OVERRULED_RETENTION_MS = 600_000;

/** Somebody said that a backend server leaves. */
interface LeavingNote {
  /** Index of the host list in force when it was first said. */
  readonly baselineIndex: number;
  readonly lastRepeatedAtMs: number;
  /** The host list has shown the backend server live since. */
  readonly isOverruled: boolean;
}

/**
 * Joins three kinds of word: the host list, load reports and refusals met here,
 * and what peers say. Any of them makes a backend server leave. A note is kept
 * until the host list, at a newer index than when the note was taken, shows the
 * entry written anew as live, or shows it as live or gone after nobody repeated
 * the note for {@link NOTE_STALE_AFTER_MS}. An entry that merely still stands as live in
 * a newer list proves nothing: the list lags, and an unrelated host changed it.
 */
export class LeavingBackendServers {
  #listed: ReadonlyMap<string, ListedHost> = new Map();

  #listIndex = NO_LIST_INDEX;

  readonly #notes = new Map<string, Map<string, LeavingNote>>();

  readonly #returnedAtMs = new Map<string, number>();

  /**
   * Takes a load report or refusal that says that a backend server leaves.
   *
   * @param id - which one
   * @param nowMs - monotonic time
   * @returns whether that was not known at first hand
   */
  noteOwn(id: string, nowMs: number): boolean {
    const returnedAtMs = this.#returnedAtMs.get(id);
    // A lagging load report would take a backend server that has just come back
    // out of service, and nothing newer in the list might ever lift the note.
    if (returnedAtMs !== undefined && nowMs - returnedAtMs < LOAD_REPORT_LAG_MS) return false;
    const isNew = !this.#isKnownAtFirstHand(id);
    this.#putNote(id, OWN_SOURCE, nowMs);
    return isNew;
  }

  /**
   * Takes the whole of what a peer says now; what it no longer says is withdrawn.
   *
   * @param incarnation - which peer
   * @param ids - backend servers that it knows at first hand to leave
   * @param nowMs - monotonic time
   */
  applyClaims(incarnation: string, ids: readonly string[], nowMs: number): void {
    const claimed = new Set(ids);
    this.#notes.forEach((sources, id) => {
      if (!claimed.has(id)) sources.delete(incarnation);
      if (sources.size === 0) this.#notes.delete(id);
    });
    claimed.forEach((id) => this.#putNote(id, incarnation, nowMs));
  }

  /**
   * Takes a host list that is to be in force.
   *
   * @param list - the list; an index lower than before means a restored service
   * @param nowMs - monotonic time
   */
  applyHostList(list: HostList, nowMs: number): void {
    const previous = this.#listed;
    const backendServers = list.hosts.filter((host) => host.role === HostRole.BackendServer);
    this.#listed = new Map(backendServers.map((host) => [host.id, host]));
    this.#listIndex = list.index;
    this.#listed.forEach((host, id) => {
      const wasLeaving = previous.get(id)?.state === HostState.Leaving;
      if (wasLeaving && host.state === HostState.Live) this.#returnedAtMs.set(id, nowMs);
    });
    this.#notes.forEach((sources, id) => this.#updateNotes(id, sources, nowMs));
    this.#returnedAtMs.forEach((atMs, id) => {
      if (nowMs - atMs >= LOAD_REPORT_LAG_MS) this.#returnedAtMs.delete(id);
    });
  }

  /** @param id - which one. @returns whether anybody within reach says that it leaves */
  isLeaving(id: string): boolean {
    if (this.#listed.get(id)?.state === HostState.Leaving) return true;
    return [...(this.#notes.get(id)?.values() ?? [])].some((note) => !note.isOverruled);
  }

  /** @returns those known to leave, sorted */
  listLeaving(): readonly string[] {
    return this.#listWhere((id) => this.isLeaving(id));
  }

  /**
   * Lists what is to be told to peers. Hearsay is left out: two entry hosts that
   * told each other what each had from the other would never forget it.
   *
   * @returns those known to leave from the host list, a load report or a refusal, sorted
   */
  listKnownAtFirstHand(): readonly string[] {
    return this.#listWhere((id) => this.#isKnownAtFirstHand(id));
  }

  #isKnownAtFirstHand(id: string): boolean {
    return (
      this.#listed.get(id)?.state === HostState.Leaving ||
      this.#notes.get(id)?.has(OWN_SOURCE) === true
    );
  }

  #listWhere(matches: (id: string) => boolean): readonly string[] {
    return [...new Set([...this.#listed.keys(), ...this.#notes.keys()])].filter(matches).sort();
  }

  #putNote(id: string, source: string, nowMs: number): void {
    const sources = this.#notes.get(id) ?? new Map<string, LeavingNote>();
    const known = sources.get(source);
    sources.set(source, {
      baselineIndex: known?.baselineIndex ?? this.#listIndex,
      lastRepeatedAtMs: nowMs,
      isOverruled: known?.isOverruled ?? false,
    });
    this.#notes.set(id, sources);
  }

  #updateNotes(id: string, sources: Map<string, LeavingNote>, nowMs: number): void {
    sources.forEach((note, source) => {
      const isCleared = note.isOverruled || this.#mayClearNote(id, note, nowMs);
      const isOld = nowMs - note.lastRepeatedAtMs > OVERRULED_RETENTION_MS;
      // A peer repeats its claim until it has read the newer list itself, so a
      // lifted claim is remembered as overruled; else it would be taken as news.
      if (isCleared && (source === OWN_SOURCE || isOld)) sources.delete(source);
      else sources.set(source, this.#rebaseNote(note, isCleared));
      if (isCleared && source === OWN_SOURCE) this.#returnedAtMs.set(id, nowMs);
    });
    if (sources.size === 0) this.#notes.delete(id);
  }

  #rebaseNote(note: LeavingNote, isOverruled: boolean): LeavingNote {
    const isFirstList = note.baselineIndex === NO_LIST_INDEX;
    const baselineIndex = isFirstList
      ? this.#listIndex
      : Math.min(note.baselineIndex, this.#listIndex);
    return { ...note, isOverruled, baselineIndex };
  }

  #mayClearNote(id: string, note: LeavingNote, nowMs: number): boolean {
    const host = this.#listed.get(id);
    if (host?.state === HostState.Leaving) return false;
    // A restarted entry host hears of its peers before it has read any list. Each
    // entry of the first list is newer than no list, but not newer than the note:
    // work would go to the leaving backend server from this entry host alone.
    if (note.baselineIndex === NO_LIST_INDEX) return false;
    if (host && host.modifyIndex > note.baselineIndex) return true;
    const isStale = nowMs - note.lastRepeatedAtMs >= NOTE_STALE_AFTER_MS;
    return isStale && this.#listIndex > note.baselineIndex;
  }
}
