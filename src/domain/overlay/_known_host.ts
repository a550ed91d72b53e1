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
  readonly #vouchers = new Map<string, boolean>();

  /** How many of them are heard. */
  #liveCount = 0;

  readonly #nextRevision: () => number;

  #state: HostState;

  #wasHeard = false;

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
    return this.#liveCount > 0;
  }

  /** Whether it reports here itself, and is heard. */
  get reportsItself(): boolean {
    return this.findVoucher(this.incarnation) === true;
  }

  /** Whether it was ever heard; one that was only told of may well be there. */
  get wasHeard(): boolean {
    return this.#wasHeard;
  }

  /** @param source - incarnation. @returns whether it vouches and is heard; undefined: it doesn't vouch */
  findVoucher(source: string): boolean | undefined {
    return this.#vouchers.get(source);
  }

  /** @param state - what its process says; an older state than the present is ignored */
  updateState(state: HostState): void {
    if (state.version <= this.#state.version) return;
    this.#state = state;
    this.noteChange();
  }

  /**
   * @param source - incarnation that vouches for it
   * @param isLive - whether that one is itself heard
   * @param nowMs - monotonic time in milliseconds
   */
  setVoucher(source: string, isLive: boolean, nowMs: number): void {
    const former = this.#vouchers.get(source);
    if (former === isLive) return;
    const wasHeard = this.isHeard;
    this.#vouchers.set(source, isLive);
    this.#liveCount += (isLive ? 1 : 0) - (former === true ? 1 : 0);
    this.#wasHeard ||= isLive;
    this.#noteSilence(wasHeard, nowMs);
  }

  /** @param source - incarnation that vouches for it no more. @param nowMs - monotonic time */
  removeVoucher(source: string, nowMs: number): void {
    const former = this.#vouchers.get(source);
    if (former === undefined) return;
    const wasHeard = this.isHeard;
    this.#vouchers.delete(source);
    if (former) this.#liveCount -= 1;
    this.#noteSilence(wasHeard, nowMs);
  }

  /** @param stale - incarnations that are silent now. @param nowMs - monotonic time */
  dropStale(stale: readonly string[], nowMs: number): void {
    stale
      .filter((source) => this.findVoucher(source) === true)
      .forEach((source) => this.setVoucher(source, false, nowMs));
  }

  /** Has it told again to those that were told of it before. */
  noteChange(): void {
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

  #noteSilence(wasHeard: boolean, nowMs: number): void {
    if (wasHeard && !this.isHeard) this.#silentSinceMs = nowMs;
    this.noteChange();
  }
}
