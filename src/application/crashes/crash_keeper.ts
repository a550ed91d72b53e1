/**
 * Finds the requests that end backend servers, together with all entry hosts, and holds them.
 *
 * @module
 */
import { RecentKeys } from '../../domain/collections/mod.js';
import { CrashLedger, CrashState } from '../../domain/crashes/mod.js';
import type { CrashNote } from '../../domain/crashes/mod.js';
import { ErrorKind, LogLevel, SchedulerError } from '../../domain/errors/mod.js';
import type { Clock, EventLog, Metrics, PeerNetwork, ServerProbe } from '../../ports/mod.js';
import { CrashSharing } from './_crash_sharing.js';
import type { CrashPaths } from './crash_paths.js';
import { CrashWatch } from './crash_watch.js';
import type { LostRun, ServerCrash } from './crash_watch.js';

/**
 * How long an answer speaks for a content, in milliseconds. A popular one runs at many servers
 * at any moment, also at those that a failing rack takes along; that it was answered a moment
 * ago tells it from one that ends its servers.
 */
const VOUCHED_MS = 60_000;

/**
 * Age up to which an end says anything of who is at the server's address now, in milliseconds.
 * Later on, the server may have been started again there.
 */
const FRESH_MS = 500;

/** Most contents whose answers are remembered. */
const MAX_ANSWERED = 4_096;

/** What the keeper needs. */
export interface CrashKeeperOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly probe: ServerProbe;
  readonly peers: PeerNetwork;
  readonly paths: CrashPaths;
}

/** A run that has come to its end with a whole answer. */
export interface AnsweredRun {
  readonly contentId: string;
  readonly serverId: string;
  /** When it was sent, on the monotonic clock. */
  readonly startedAtMs: number;
  /** Whether the request was run to a good end. A server may answer with an error before it runs it. */
  readonly hasSucceeded: boolean;
}

/**
 * A request may end every server that begins to run it. Each repeat is a request of its own, may
 * come to any entry host, and finds servers that know nothing of it; without a memory of contents
 * that all entry hosts share, one such request takes the whole service down, and every call that
 * runs beside it fails as well.
 */
export class CrashKeeper {
  readonly #options: CrashKeeperOptions;

  readonly #ledger = new CrashLedger();

  readonly #watch: CrashWatch;

  readonly #sharing: CrashSharing;

  /** When contents were answered here last. */
  readonly #answeredAtMs = new RecentKeys<number>(MAX_ANSWERED);

  readonly #heldHandlers: ((contentId: string) => void)[] = [];

  /** @param options - what the keeper needs */
  constructor(options: CrashKeeperOptions) {
    this.#options = options;
    const { paths } = options;
    this.#watch = new CrashWatch({
      ...options,
      createCrashId: (serverId) => paths.createCrashId(serverId),
      onCrash: (crash) => this.#handleCrash(crash),
    });
    this.#sharing = new CrashSharing({
      ...options,
      ledger: this.#ledger,
      apply: (notes) => this.#applyOfPeer(notes),
    });
  }

  /** Begins to tell peers. */
  start(): void {
    this.#sharing.start();
  }

  /** Tells peers no more. */
  stop(): void {
    this.#sharing.stop();
  }

  /** @param handler - called with each content that is held from now on */
  onHeld(handler: (contentId: string) => void): void {
    this.#heldHandlers.push(handler);
  }

  /** Contents that are held. */
  get heldCount(): number {
    return this.#ledger.heldCount;
  }

  /**
   * Checks whether a request may be sent to a server.
   *
   * @param contentId - its content
   * @returns why not; undefined when it may
   */
  findRefusal(contentId: string): SchedulerError | undefined {
    if (!this.#ledger.isHeld(contentId)) return undefined;
    this.#sharing.notify(this.#ledger.noteSeen(contentId, this.#options.clock.nowMs()));
    return new SchedulerError(ErrorKind.RequestHeld, {
      message: `Cannot send the call: backend servers ended under content ${contentId}`,
    });
  }

  /** @param run - a run whose connection its server has closed */
  noteLost(run: LostRun): void {
    this.#watch.noteLost(run);
  }

  /**
   * Takes note of an answer. Any shows that its server lives; only a success shows that its
   * content does servers no harm.
   *
   * @param run - the run that was answered
   */
  noteAnswered({ contentId, serverId, startedAtMs, hasSucceeded }: AnsweredRun): void {
    if (hasSucceeded) this.#clearContent(contentId);
    if (this.#ledger.isKnownBefore(serverId, startedAtMs)) this.#clearCrash(serverId);
  }

  #clearContent(contentId: string): void {
    const nowMs = this.#options.clock.nowMs();
    this.#answeredAtMs.set(contentId, nowMs);
    const notes = this.#ledger.clearContent(contentId, nowMs);
    this.#noteVerdicts();
    this.#sharing.notify(notes);
  }

  #handleCrash({ serverId, crashId, runs }: ServerCrash): void {
    const nowMs = this.#options.clock.nowMs();
    const contentIds = [...new Set(runs.map(({ contentId }) => contentId))];
    this.#options.log.write(LogLevel.Warn, 'backend_server_crashed', {
      backendServer: serverId,
      crashId,
      lostRuns: runs.length,
      contents: contentIds.length,
    });
    this.#options.metrics.count('backend_server_crashes_total');
    const notes = runs.map(({ contentId, startedAtMs, endedAtMs }) => ({
      contentId,
      crashId,
      state: CrashState.Suspected,
      isHeld: false,
      startedAgoMs: nowMs - startedAtMs,
      endedAgoMs: nowMs - endedAtMs,
      seenAgoMs: nowMs - endedAtMs,
    }));
    this.#sharing.notify(this.#apply(notes));
  }

  #applyOfPeer(notes: readonly CrashNote[]): CrashNote[] {
    const news = this.#apply(notes);
    // Whoever told of a suspect hears that this entry host knows better.
    this.#sharing.notify(news.filter((note) => !notes.includes(note)));
    listFresh(news).forEach((crashId) => this.#check(crashId));
    return news;
  }

  /** A server that listens lives: the peer's links were cut. */
  async #check(crashId: string): Promise<void> {
    const serverId = this.#options.paths.readServerId(crashId);
    const address = this.#options.paths.findAddress(serverId);
    if (address === undefined || !(await this.#watch.isListening(serverId, address))) return;
    this.#clearCrash(crashId);
  }

  #clearCrash(crashId: string): void {
    const notes = this.#ledger.clearCrash(crashId, this.#options.clock.nowMs());
    this.#noteVerdicts();
    this.#sharing.notify(notes);
  }

  /** @returns what is news of it, with what this entry host knows better */
  #apply(notes: readonly CrashNote[]): CrashNote[] {
    const nowMs = this.#options.clock.nowMs();
    const known = notes.map((note) => (this.#isVouched(note, nowMs) ? toCleared(note) : note));
    const news = this.#ledger.apply(known, nowMs);
    listFresh(news).forEach((crashId) => {
      this.#watch.noteCrash(this.#options.paths.readServerId(crashId), crashId);
    });
    this.#noteVerdicts();
    return news;
  }

  #isVouched({ contentId, endedAgoMs }: CrashNote, nowMs: number): boolean {
    const answeredAtMs = this.#answeredAtMs.get(contentId);
    return answeredAtMs !== undefined && nowMs - endedAgoMs - answeredAtMs < VOUCHED_MS;
  }

  #noteVerdicts(): void {
    const { log, metrics, clock } = this.#options;
    const verdicts = this.#ledger.takeVerdicts();
    if (verdicts.length === 0) return;
    metrics.set('requests_held', this.#ledger.heldCount);
    verdicts.forEach(({ contentId, isHeld, crashIds }) => {
      const event = isHeld ? 'request_held' : 'request_released';
      log.write(LogLevel.Warn, event, { contentId, crashes: crashIds.join() });
      metrics.count(`${event}_total`);
      if (!isHeld) return;
      this.#sharing.notify(this.#ledger.listContent(contentId, clock.nowMs()));
      this.#heldHandlers.forEach((handler) => handler(contentId));
    });
  }
}

/** @returns crashes of a moment ago that something is suspected of */
function listFresh(notes: readonly CrashNote[]): string[] {
  const fresh = notes.filter(
    ({ state, endedAgoMs }) => state === CrashState.Suspected && endedAgoMs < FRESH_MS,
  );
  return [...new Set(fresh.map(({ crashId }) => crashId))];
}

function toCleared(note: CrashNote): CrashNote {
  return { ...note, state: CrashState.Cleared };
}
