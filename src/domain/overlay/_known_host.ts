/**
 * One other entry host, and by whose word it is there.
 *
 * @module
 */
import type { HostState, RosterEntry } from './types.js';

/** Keeps the newest state of one process and who vouches for it. */
export class KnownHost {
  /**
   * Incarnations of the processes that say that it is heard, its own among them where
   * it reports here, and whether each of them is itself heard.
   */
  readonly #reporters = new Map<string, boolean>();

  /** How many of them are heard. */
  #liveReporterCount = 0;

  readonly #nextRevision: () => number;

  #state: HostState;

  #hasBeenHeard = false;

  #silentSinceMs: number;

  #revision: number;

  /**
   * @param state - what its process says of itself
   * @param nowMs - monotonic time in milliseconds
   * @param nextRevision - gives the roster's next revision
   */
  constructor(state: HostState, nowMs: number, nextRevision: () => number) {
    this.#state = state;
    this.#silentSinceMs = nowMs;
    this.#nextRevision = nextRevision;
    this.#revision = nextRevision();
  }

  /** What its process says of itself. */
  get state(): HostState {
    return this.#state;
  }

  /** Its process. */
  get incarnation(): string {
    return this.#state.identity.incarnation;
  }

  /** Roster's revision with which it last changed. */
  get revision(): number {
    return this.#revision;
  }

  /** Since when nobody vouches for it, in milliseconds. */
  get silentSinceMs(): number {
    return this.#silentSinceMs;
  }

  /** Whether anybody who is heard vouches for it. */
  get isHeard(): boolean {
    return this.#liveReporterCount > 0;
  }

  /** Whether it reports here itself, and is heard. */
  get reportsItself(): boolean {
    return this.isReporterLive(this.incarnation) === true;
  }

  /** Whether it was ever heard; one that was only told of may well be there. */
  get hasBeenHeard(): boolean {
    return this.#hasBeenHeard;
  }

  /** @param source - incarnation. @returns whether it vouches and is heard; undefined: it doesn't vouch */
  isReporterLive(source: string): boolean | undefined {
    return this.#reporters.get(source);
  }

  /** @param state - what its process says; an older state than the present is ignored */
  updateState(state: HostState): void {
    if (state.version <= this.#state.version) return;
    this.#state = state;
    this.bumpRevision();
  }

  /**
   * @param source - incarnation that vouches for it
   * @param isLive - whether that one is itself heard
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

  /** @param source - incarnation that vouches for it no more. @param nowMs - monotonic time */
  removeReporter(source: string, nowMs: number): void {
    const wasLive = this.#reporters.get(source);
    if (wasLive === undefined) return;
    const wasHeard = this.isHeard;
    this.#reporters.delete(source);
    if (wasLive) this.#liveReporterCount -= 1;
    this.#recordTransition(wasHeard, nowMs);
  }

  /** @param silentSources - incarnations that are silent now. @param nowMs - monotonic time */
  markReportersSilent(silentSources: readonly string[], nowMs: number): void {
    silentSources
      .filter((source) => this.isReporterLive(source) === true)
      .forEach((source) => this.setReporter(source, false, nowMs));
  }

  /** Has it told again to those that were told of it before. */
  bumpRevision(): void {
    this.#revision = this.#nextRevision();
  }

  /**
   * A restarted host's former process may still be named by those that haven't heard of
   * the new one; its word must not bring the former back.
   *
   * @param entry - another process of the same host
   * @returns whether that one is the newer
   */
  isReplacedBy({ state, isHeard }: RosterEntry): boolean {
    const isNewer = state.bornAtMs > this.#state.bornAtMs;
    return this.isHeard ? isHeard && isNewer : isHeard || isNewer;
  }

  #recordTransition(wasHeard: boolean, nowMs: number): void {
    if (wasHeard && !this.isHeard) this.#silentSinceMs = nowMs;
    this.bumpRevision();
  }
}
