/**
 * Tracks which backend servers are leaving, according to the host list, load reports,
 * refusals and reachable peers.
 *
 * @module
 */
import type { HostList, ListedHost } from './host_list.js';
import { HostRole, ListedHostState } from './host_list.js';

/** Time without a repetition after which an unchanged host list entry may clear a note. */
export const NOTE_STALE_AFTER_MS = 10_000;

/** Time after a backend server's return during which load reports may predate the return. */
export const LOAD_REPORT_LAG_MS = 5_000;

/** Source of the notes that this process took itself; the other sources are peer incarnations. */
const OWN_SOURCE = '';

/** List index before the first host list is applied. */
const NO_LIST_INDEX = -1;

/** Time for which an overruled note is kept after its last repetition, in milliseconds. */
const OVERRULED_RETENTION_MS = 600_000;

/** A statement of one source that a backend server is leaving. */
interface LeavingNote {
  /** Index of the host list that was applied when the note was first taken. */
  readonly baselineIndex: number;
  /** Monotonic time at which the source last made the statement. */
  readonly lastRepeatedAtMs: number;
  /** Whether a newer host list has since cleared the note. */
  readonly isOverruled: boolean;
}

/**
 * Combines three kinds of evidence: the host list, load reports and refusals that this process
 * received, and the claims of peers. Any one of them marks a backend server as leaving. A note
 * is kept until a host list with a newer index than the note's baseline either contains a new
 * write of the entry as live, or shows the entry as live or missing after nobody has repeated
 * the note for {@link NOTE_STALE_AFTER_MS}. An unchanged live entry in a newer list proves
 * nothing: the list lags, and its index may have risen because of an unrelated host.
 */
export class LeavingBackendServers {
  #listed: ReadonlyMap<string, ListedHost> = new Map();

  #listIndex = NO_LIST_INDEX;

  /** Notes by backend server ID and source. */
  readonly #notes = new Map<string, Map<string, LeavingNote>>();

  /** Monotonic time at which a backend server returned to service, by its ID. */
  readonly #returnedAtMs = new Map<string, number>();

  /**
   * Records a load report or refusal which states that a backend server is leaving.
   *
   * @param id - the backend server's ID
   * @param nowMs - monotonic time
   * @returns whether the statement is accepted and was not known at first hand before
   */
  recordOwn(id: string, nowMs: number): boolean {
    const returnedAtMs = this.#returnedAtMs.get(id);
    // A lagging load report would take a backend server that has just returned out of
    // service, and the host list might not change for long enough to clear the note.
    if (returnedAtMs !== undefined && nowMs - returnedAtMs < LOAD_REPORT_LAG_MS) return false;
    const isNew = !this.#isKnownAtFirstHand(id);
    this.#putNote(id, OWN_SOURCE, nowMs);
    return isNew;
  }

  /**
   * Replaces all claims of a peer; claims that it no longer makes are withdrawn.
   *
   * @param incarnation - the peer's incarnation
   * @param ids - backend servers that the peer knows at first hand to be leaving
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
   * Applies a host list.
   *
   * @param list - the list; an index lower than before means that the service was restored
   *   from a backup
   * @param nowMs - monotonic time
   */
  applyHostList(list: HostList, nowMs: number): void {
    const previous = this.#listed;
    const backendServers = list.hosts.filter((host) => host.role === HostRole.BackendServer);
    this.#listed = new Map(backendServers.map((host) => [host.id, host]));
    this.#listIndex = list.index;
    this.#listed.forEach((host, id) => {
      const wasLeaving = previous.get(id)?.state === ListedHostState.Leaving;
      if (wasLeaving && host.state === ListedHostState.Live) this.#returnedAtMs.set(id, nowMs);
    });
    this.#notes.forEach((sources, id) => this.#updateNotes(id, sources, nowMs));
    this.#returnedAtMs.forEach((atMs, id) => {
      if (nowMs - atMs >= LOAD_REPORT_LAG_MS) this.#returnedAtMs.delete(id);
    });
  }

  /** @param id - a backend server's ID. @returns whether any source marks it as leaving */
  isLeaving(id: string): boolean {
    if (this.#listed.get(id)?.state === ListedHostState.Leaving) return true;
    return [...(this.#notes.get(id)?.values() ?? [])].some((note) => !note.isOverruled);
  }

  /** @returns the sorted IDs of all leaving backend servers */
  listLeaving(): readonly string[] {
    return this.#listWhere((id) => this.isLeaving(id));
  }

  /**
   * Lists the leaving backend servers to announce to peers. Claims of peers are left out:
   * two entry hosts that announced each other's claims would never clear them.
   *
   * @returns the sorted IDs known from the host list, a load report or a refusal
   */
  listKnownAtFirstHand(): readonly string[] {
    return this.#listWhere((id) => this.#isKnownAtFirstHand(id));
  }

  #isKnownAtFirstHand(id: string): boolean {
    return (
      this.#listed.get(id)?.state === ListedHostState.Leaving ||
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
      // A peer repeats its claim until it has read the newer list itself. The cleared claim
      // is therefore kept as overruled; otherwise the repetition would count as a new claim.
      if (isCleared && (source === OWN_SOURCE || isOld)) sources.delete(source);
      else sources.set(source, this.#rebaseNote(note, isCleared));
      if (isCleared && source === OWN_SOURCE) this.#returnedAtMs.set(id, nowMs);
    });
    if (sources.size === 0) this.#notes.delete(id);
  }

  /** Sets the baseline to the first list's index, or to a lower index after a restore. */
  #rebaseNote(note: LeavingNote, isOverruled: boolean): LeavingNote {
    const isFirstList = note.baselineIndex === NO_LIST_INDEX;
    const baselineIndex = isFirstList
      ? this.#listIndex
      : Math.min(note.baselineIndex, this.#listIndex);
    return { ...note, isOverruled, baselineIndex };
  }

  #mayClearNote(id: string, note: LeavingNote, nowMs: number): boolean {
    const host = this.#listed.get(id);
    if (host?.state === ListedHostState.Leaving) return false;
    // A restarted entry host receives claims of its peers before it has read any list. Each
    // entry of the first list is newer than no list, but not newer than the claim; clearing
    // the note here would make this entry host alone send work to the leaving backend server.
    if (note.baselineIndex === NO_LIST_INDEX) return false;
    if (host && host.modifyIndex > note.baselineIndex) return true;
    const isStale = nowMs - note.lastRepeatedAtMs >= NOTE_STALE_AFTER_MS;
    return isStale && this.#listIndex > note.baselineIndex;
  }
}
