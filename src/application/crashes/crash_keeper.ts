/**
 * Finds the requests that end backend servers, together with all entry hosts, and holds them.
 *
 * @module
 */
import { CrashLedger, CrashState, SuspectState } from '../../domain/crashes/mod.js';
import type { CrashNote } from '../../domain/crashes/mod.js';
import { ErrorKind, LogLevel, SchedulerError } from '../../domain/errors/mod.js';
import type {
  Clock,
  EventLog,
  Metrics,
  PeerNetwork,
  RandomSource,
  ServerProbe,
  Timer,
} from '../../ports/mod.js';
import { AnsweredContents } from './_answered_contents.js';
import { CrashSharing } from './_crash_sharing.js';
import { TrialQueue } from './_trial_queue.js';
import type { Pass } from './_trial_queue.js';
import type { CrashPaths } from './crash_paths.js';
import { CrashWatch } from './crash_watch.js';
import type { LostRun, ServerCrash } from './crash_watch.js';

/** Time in which word of what else ran at an end comes from peers, in milliseconds. */
const SETTLE_MS = 50;

/**
 * Age up to which an end says anything of who is at the server's address now, in milliseconds.
 * Later on, the server may have been started again there.
 */
const FRESH_MS = 500;

/** Log events and metrics of verdicts. */
const VERDICT_EVENTS: Readonly<Record<SuspectState, string>> = {
  [SuspectState.Free]: 'request_released',
  [SuspectState.Doubted]: 'request_doubted',
  [SuspectState.Held]: 'request_held',
};

/** What the keeper needs. */
export interface CrashKeeperOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly random: RandomSource;
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

  readonly #ledger: CrashLedger;

  readonly #watch: CrashWatch;

  readonly #sharing: CrashSharing;

  readonly #trials: TrialQueue;

  #settleTimer: Timer | undefined;

  readonly #answered = new AnsweredContents();

  readonly #heldHandlers: ((contentId: string) => void)[] = [];

  /** @param options - what the keeper needs */
  constructor(options: CrashKeeperOptions) {
    this.#options = options;
    const { paths } = options;
    this.#ledger = new CrashLedger({
      getSettleMs: () => (paths.listTargets().length > 0 ? SETTLE_MS : 0),
    });
    this.#trials = new TrialQueue({
      ...options,
      ledger: this.#ledger,
      notify: (notes) => this.#sharing.notify(notes),
      review: () => this.#review(),
      refuse: (contentId) => this.#refuse(contentId),
    });
    this.#watch = new CrashWatch({
      ...options,
      createCrashId: (serverId) => paths.createCrashId(serverId),
      onCrash: (crash) => this.#handleCrash(crash),
    });
    this.#sharing = new CrashSharing({
      ...options,
      ledger: this.#ledger,
      apply: (notes) => this.#applyOfPeer(notes),
      review: () => this.#review(),
    });
  }

  /** Begins to tell peers. */
  start(): void {
    this.#sharing.start();
  }

  /** Tells peers no more. */
  stop(): void {
    this.#sharing.stop();
    this.#trials.stop();
    this.#settleTimer?.cancel();
  }

  /** @param handler - called with each content whose calls are refused from now on */
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
    const delayMs = this.#trials.findDelayMs(contentId);
    if (delayMs === undefined && !this.#ledger.isHeld(contentId)) return undefined;
    this.#sharing.notify(this.#ledger.noteSeen(contentId, this.#options.clock.nowMs()));
    return new SchedulerError(ErrorKind.RequestHeld, {
      message: `Cannot send the call: backend servers ended under content ${contentId}`,
      ...(delayMs === undefined ? {} : { retryAfterMs: delayMs }),
    });
  }

  /**
   * Asks for leave to send a request right now. One whose content is in doubt is sent singly, and
   * its leave is used up.
   *
   * @param contentId - its content
   * @param hasTime - whether its caller waits long enough for a trial to show something
   * @returns whether it may be sent, and as what
   */
  takePass(contentId: string, hasTime = true): Pass {
    return this.#trials.takePass(contentId, hasTime);
  }

  /**
   * Waits until a request may ask for leave again.
   *
   * @param contentId - its content
   * @param resume - called once, when it may; not where its content is held
   * @returns ends the wait
   */
  waitForPass(contentId: string, resume: () => void): () => void {
    return this.#trials.wait(contentId, resume);
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
    this.#answered.note(contentId, nowMs);
    if (this.#ledger.size === 0) return;
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
    const known = notes.map((note) => this.#answered.reviewNote(note, nowMs));
    const news = this.#ledger.apply(known, nowMs);
    listFresh(news).forEach((crashId) => {
      this.#watch.noteCrash(this.#options.paths.readServerId(crashId), crashId);
    });
    this.#noteVerdicts();
    if (news.length > 0) this.#scheduleReview();
    return news;
  }

  #refuse(contentId: string): void {
    this.#heldHandlers.forEach((handler) => handler(contentId));
  }

  /** Judges anew once word of what else ran at an end must have come. */
  #scheduleReview(): void {
    if (this.#settleTimer) return;
    const { clock } = this.#options;
    this.#settleTimer = clock.setTimer(SETTLE_MS, () => {
      this.#settleTimer = undefined;
      this.#review();
    });
  }

  #review(): void {
    this.#ledger.review(this.#options.clock.nowMs());
    this.#noteVerdicts();
  }

  #noteVerdicts(): void {
    const { log, metrics, clock } = this.#options;
    const verdicts = this.#ledger.takeVerdicts();
    if (verdicts.length === 0) return;
    metrics.set('requests_held', this.#ledger.heldCount);
    verdicts.forEach(({ contentId, state, isHeld, crashIds }) => {
      const event = VERDICT_EVENTS[state];
      log.write(LogLevel.Warn, event, { contentId, crashes: crashIds.join() });
      metrics.count(`${event}_total`);
      if (!isHeld) return;
      this.#sharing.notify(this.#ledger.listContent(contentId, clock.nowMs()));
      this.#refuse(contentId);
    });
    this.#trials.update();
  }
}

/** @returns crashes of a moment ago that something is suspected of */
function listFresh(notes: readonly CrashNote[]): string[] {
  const fresh = notes.filter(
    ({ state, endedAgoMs }) => state === CrashState.Suspected && endedAgoMs < FRESH_MS,
  );
  return [...new Set(fresh.map(({ crashId }) => crashId))];
}
