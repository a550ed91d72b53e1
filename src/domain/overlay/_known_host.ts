/**
 * Tracks one process of a peer and the processes that report it as heard.
 *
 * @module
 */
import type { HostState, RosterEntry } from './types.js';

/**
 * Holds the newest state of one process of a peer, and its reporters: the processes that
 * currently report it as heard. The process counts as heard while any reporter is live.
 */
export class KnownHost {
  /**
   * Reporters by incarnation, and whether each of them is live, that is, heard here itself.
   * The process is its own reporter if it reports directly to this entry host.
   */
  readonly #reporters = new Map<string, boolean>();

  /** Number of live reporters. */
  #liveReporterCount = 0;

  readonly #nextRevision: () => number;

  #state: HostState;

  #hasBeenHeard = false;

  #silentSinceMs: number;

  #revision: number;

  /**
   * @param state - state that the process announced about itself
   * @param nowMs - monotonic time in milliseconds
   * @param nextRevision - increments and returns the roster's revision
   */
  constructor(state: HostState, nowMs: number, nextRevision: () => number) {
    this.#state = state;
    this.#silentSinceMs = nowMs;
    this.#nextRevision = nextRevision;
    this.#revision = nextRevision();
  }

  /** Newest state that the process announced about itself. */
  get state(): HostState {
    return this.#state;
  }

  /** Incarnation of the process. */
  get incarnation(): string {
    return this.#state.identity.incarnation;
  }

  /** Revision of the roster at the last change of this record. */
  get revision(): number {
    return this.#revision;
  }

  /** Monotonic time at which its last live reporter was lost, or at which it became known. */
  get silentSinceMs(): number {
    return this.#silentSinceMs;
  }

  /** Whether any live reporter reports it as heard. */
  get isHeard(): boolean {
    return this.#liveReporterCount > 0;
  }

  /** Whether it reports directly to this entry host, and is live. */
  get reportsItself(): boolean {
    return this.isReporterLive(this.incarnation) === true;
  }

  /** Whether it was ever heard; a process that was only announced so far may still be running. */
  get hasBeenHeard(): boolean {
    return this.#hasBeenHeard;
  }

  /** @param source - an incarnation. @returns whether it is live; undefined if no reporter */
  isReporterLive(source: string): boolean | undefined {
    return this.#reporters.get(source);
  }

  /** @param state - state announced by the process; ignored unless newer than the known one */
  updateState(state: HostState): void {
    if (state.version <= this.#state.version) return;
    this.#state = state;
    this.bumpRevision();
  }

  /**
   * Adds or updates a reporter.
   *
   * @param source - incarnation of the reporter
   * @param isLive - whether the reporter is heard itself
   * @param nowMs - monotonic time in milliseconds
   */
  setReporter(source: string, isLive: boolean, nowMs: number): void {
    const wasLive = this.#reporters.get(source);
    if (wasLive === isLive) return;
    const wasHeard = this.isHeard;
    this.#reporters.set(source, isLive);
    this.#liveReporterCount += (isLive ? 1 : 0) - (wasLive === true ? 1 : 0);
    this.#hasBeenHeard ||= isLive;
    this.#recordTransition(wasHeard, nowMs);
  }

  /** @param source - incarnation that no longer reports it. @param nowMs - monotonic time */
  removeReporter(source: string, nowMs: number): void {
    const wasLive = this.#reporters.get(source);
    if (wasLive === undefined) return;
    const wasHeard = this.isHeard;
    this.#reporters.delete(source);
    if (wasLive) this.#liveReporterCount -= 1;
    this.#recordTransition(wasHeard, nowMs);
  }

  /** @param silentSources - incarnations that fell silent. @param nowMs - monotonic time */
  markReportersSilent(silentSources: readonly string[], nowMs: number): void {
    silentSources
      .filter((source) => this.isReporterLive(source) === true)
      .forEach((source) => this.setReporter(source, false, nowMs));
  }

  /** Raises the revision, so that receivers of earlier revisions are sent this record again. */
  bumpRevision(): void {
    this.#revision = this.#nextRevision();
  }

  /**
   * Compares this process with another one of the same host. Peers that don't know the new
   * process of a restarted host still announce the previous one, which must not return.
   *
   * @param entry - another process of the same host
   * @returns whether the other process replaces this one
   */
  isReplacedBy({ state, isHeard }: RosterEntry): boolean {
    const isNewer = state.bornAtMs > this.#state.bornAtMs;
    return this.isHeard ? isHeard && isNewer : isHeard || isNewer;
  }

  /** Records the start of the silence if the last live reporter was lost; raises the revision. */
  #recordTransition(wasHeard: boolean, nowMs: number): void {
    if (wasHeard && !this.isHeard) this.#silentSinceMs = nowMs;
    this.bumpRevision();
  }
}
