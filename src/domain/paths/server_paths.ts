/**
 * What an entry host knows of its own links to the backend servers.
 *
 * @module
 */
import { CutPaths } from './_cut_paths.js';

/**
 * Number of servers that this host can't connect to, without any sign of a server in between, from
 * which it seems to reach none.
 */
const MIN_LOST_SERVERS = 2;

/** Time for which a server counts as unreachable for all hosts, in milliseconds. */
const UNREACHABLE_MS = 1_000;

/** Time for which a failed connection may be due to the own links while nobody has told, in ms. */
const UNEXPLAINED_MS = 2_000;

/** Time without a sign of any server from which all links may be lost, in milliseconds. */
const SILENCE_MS = 100;

/**
 * Tells a cut link from a dead server. A server that this host can't connect to has a cut path if
 * a peer can, and is unreachable if no peer whose own links work can either. All IDs are
 * incarnation IDs. What holds of the host itself:
 *
 * | own connections                      | a peer reaches servers | so                                  |
 * | ------------------------------------ | ---------------------- | ----------------------------------- |
 * | fail to fewer than two servers       | any                    | each server has a path of its own   |
 * | fail to two, none was reached since  | any                    | requests wait while more are probed |
 * | so do those to the last ones reached | not known yet          | requests wait for what peers find   |
 * | the same                             | yes                    | all paths are cut                   |
 * | the same                             | none of those asked    | no host reaches any of these servers |
 *
 * Data from any server, or a new connection to one, undoes all but the first row.
 */
export class ServerPaths {
  readonly #cuts = new CutPaths();

  readonly #unreachableUntilMs = new Map<string, number>();

  readonly #reachedAtMs = new Map<string, number>();

  /** Servers that this host could not connect to since any server was reached. */
  readonly #lostSinceReached = new Set<string>();

  /** When servers could not be connected to, as long as nobody has told why, in ms. */
  readonly #unexplainedLosses = new Map<string, number>();

  /** Whether a peer was found since then that reaches a server. */
  #hasReachingPeer = false;

  /** Servers that were there when all peers that could be asked reached none; undefined: some do. */
  #noneReachableIds: ReadonlySet<string> | undefined;

  /** Whether several servers were probed since then, and none could be connected to. */
  #isLossConfirmed = false;

  #lastReachedAtMs = Number.NEGATIVE_INFINITY;

  #lastConnectedAtMs = Number.NEGATIVE_INFINITY;

  /** When any server was last reached directly, on the monotonic clock in milliseconds. */
  get lastReachedAtMs(): number {
    return this.#lastReachedAtMs;
  }

  /** When this host last opened a connection to any server, in monotonic milliseconds. */
  get lastConnectedAtMs(): number {
    return this.#lastConnectedAtMs;
  }

  /** Number of servers with a cut path. */
  get cutCount(): number {
    return this.#cuts.size;
  }

  /** Whether this host seems to reach no server. */
  get reachesNothing(): boolean {
    return this.#lostSinceReached.size >= MIN_LOST_SERVERS;
  }

  /** Whether this host reaches no server, as far as it could check; peers may. */
  get isLossConfirmed(): boolean {
    return this.#isLossConfirmed;
  }

  /** Whether this host reaches no server, while its peers do. */
  get isCutOff(): boolean {
    return this.#isLossConfirmed && this.#hasReachingPeer;
  }

  /** Whether neither this host nor any peer that could be asked reaches a server. */
  get isNoneReachable(): boolean {
    return this.#isLossConfirmed && this.#noneReachableIds !== undefined;
  }

  /** @param id - a server. @returns when it was last reached directly */
  findReachedAt(id: string): number | undefined {
    return this.#reachedAtMs.get(id);
  }

  /**
   * Records data from a server. It doesn't end a cut: open connections may live on while new ones
   * are refused.
   *
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   */
  recordReached(id: string, nowMs: number): void {
    this.#reachedAtMs.set(id, nowMs);
    this.#unreachableUntilMs.delete(id);
    this.#lastReachedAtMs = nowMs;
    this.#lostSinceReached.clear();
    this.#hasReachingPeer = false;
    this.#noneReachableIds = undefined;
    this.#isLossConfirmed = false;
  }

  /**
   * @param id - a server that this host could not connect to
   * @param nowMs - monotonic time in milliseconds
   */
  recordLost(id: string, nowMs: number): void {
    this.#lostSinceReached.add(id);
    this.#unexplainedLosses.set(id, nowMs);
  }

  /**
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   * @returns whether failed connections to it may be due to the own links
   */
  isOwnLossPossible(id: string, nowMs: number): boolean {
    const lostAtMs = this.#unexplainedLosses.get(id) ?? Number.NEGATIVE_INFINITY;
    return this.isCut(id) || nowMs - lostAtMs < UNEXPLAINED_MS;
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns whether this host may have lost all its links: it seems to reach no server, and has
   *   heard none for a moment. Where several servers have crashed, others are heard meanwhile.
   */
  mayHaveLostAll(nowMs: number): boolean {
    return this.reachesNothing && nowMs - this.#lastReachedAtMs >= SILENCE_MS;
  }

  /** Records that several servers were probed, and none could be connected to. */
  confirmLoss(): void {
    this.#isLossConfirmed = true;
  }

  /** Records that a peer reaches a server. */
  recordReachingPeer(): void {
    this.#hasReachingPeer = true;
    this.#noneReachableIds = undefined;
  }

  /**
   * Records that none of the peers that could be asked reaches a server.
   *
   * @param ids - servers that were there; those that start later may be reached
   */
  recordNoReachingPeer(ids: readonly string[]): void {
    this.#hasReachingPeer = false;
    this.#noneReachableIds = new Set(ids);
  }

  /**
   * @param id - a server
   * @returns whether it has started since no host was found to reach any server
   */
  isNewSinceLoss(id: string): boolean {
    return this.isNoneReachable && this.#noneReachableIds?.has(id) === false;
  }

  /**
   * Records a new connection to a server.
   *
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   */
  recordConnected(id: string, nowMs: number): void {
    this.#lastConnectedAtMs = nowMs;
    this.#cuts.recordConnected(id, nowMs);
    this.#unexplainedLosses.delete(id);
    this.recordReached(id, nowMs);
  }

  /**
   * Records that a peer reaches a server that this host can't connect to.
   *
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   */
  recordCut(id: string, nowMs: number): void {
    this.#lostSinceReached.add(id);
    this.recordReachingPeer();
    this.#unreachableUntilMs.delete(id);
    this.#cuts.add(id, nowMs);
  }

  /**
   * Records that neither this host nor a peer can connect to a server.
   *
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   * @param isConfirmed - whether a peer has said so whose own links work; if none has, it counts only
   *   while this host reaches other servers. Default: true
   */
  recordUnreachable(id: string, nowMs: number, isConfirmed = true): void {
    if (isConfirmed) this.#unexplainedLosses.delete(id);
    else if (this.reachesNothing) return;
    this.#unreachableUntilMs.set(id, nowMs + UNREACHABLE_MS);
  }

  /**
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   * @returns whether nobody could connect to the server a moment ago
   */
  isUnreachable(id: string, nowMs: number): boolean {
    if (this.isNoneReachable && !this.isNewSinceLoss(id)) return true;
    return nowMs < (this.#unreachableUntilMs.get(id) ?? Number.NEGATIVE_INFINITY);
  }

  /** @param id - a server. @returns whether requests to it must go through a peer */
  isCut(id: string): boolean {
    return this.isCutOff || this.#cuts.has(id);
  }

  /**
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   * @returns whether its path is cut and the next check of it is due
   */
  isCheckDue(id: string, nowMs: number): boolean {
    return this.#cuts.isCheckDue(id, nowMs);
  }

  /**
   * Takes the check of a cut path that is due. Data on open connections does not end a cut, so that
   * only a check does.
   *
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   * @returns whether the path should be checked now; false until the next check is due
   */
  takeCheck(id: string, nowMs: number): boolean {
    return this.#cuts.takeCheck(id, nowMs);
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns whether a cut path was restored a moment ago, so that requests try the others
   */
  isReturning(nowMs: number): boolean {
    return this.#cuts.isReturning(nowMs);
  }

  /**
   * Takes the try of a cut path by a request, once after each return of another one. It costs
   * the server no connection beside that of the request.
   *
   * @param id - a server
   * @param nowMs - monotonic time in milliseconds
   * @returns whether a request may try the path now
   */
  takeTry(id: string, nowMs: number): boolean {
    return !this.isCutOff && this.#cuts.takeTry(id, nowMs);
  }

  /** @param id - a server that has ended */
  forget(id: string): void {
    this.#cuts.forget(id);
    this.#unexplainedLosses.delete(id);
    this.#unreachableUntilMs.delete(id);
    this.#reachedAtMs.delete(id);
    this.#lostSinceReached.delete(id);
  }
}
