/**
 * Detects contents that crash backend servers, together with the other entry hosts, and
 * quarantines them.
 *
 * @module
 */
import { CrashLedger } from '../../domain/crashes/mod.js';
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
import { CrashNoteExchange } from './_crash_note_exchange.js';
import { buildCrashNotes, listRecentCrashIds } from './_crash_notes.js';
import { buildScope } from './request_details.js';
import type { RequestDetails } from './request_details.js';
import { logStateChange } from './_state_change_log.js';
import { TrialQueue } from './_trial_queue.js';
import type { Permit } from './_trial_queue.js';
import type { CrashPaths } from './crash_paths.js';
import { CrashDetector } from './crash_detector.js';
import type { LostRun, ServerCrash } from './crash_detector.js';

/** Time in which peers' notes of other runs at a crash arrive, in milliseconds. */
const NOTE_SETTLE_MS = 50;

/** Options of {@link CrashQuarantine}. */
export interface CrashQuarantineOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  readonly probe: ServerProbe;
  readonly peers: PeerNetwork;
  readonly paths: CrashPaths;
}

/** A run that ended with a complete answer. */
export interface AnsweredRun {
  readonly contentId: string;
  /** IDs of the parts of its prompt that other requests may share. Default: none. */
  readonly partIds?: readonly string[];
  readonly serverId: string;
  /** When the request was sent, in monotonic milliseconds. */
  readonly startedAtMs: number;
  /** Whether the request succeeded. A server may answer with an error before it runs a request. */
  readonly hasSucceeded: boolean;
}

/**
 * Quarantines contents that crash backend servers. A content may crash every server that begins to
 * run it. Each repeat is a new request, may arrive at any entry host, and reaches servers that know
 * nothing of it; without a memory that all entry hosts share, one such content takes the whole
 * service down, along with every call that runs beside it.
 */
export class CrashQuarantine {
  readonly #options: CrashQuarantineOptions;

  readonly #ledger: CrashLedger;

  readonly #detector: CrashDetector;

  readonly #noteExchange: CrashNoteExchange;

  readonly #trials: TrialQueue;

  #settleTimer: Timer | undefined;

  readonly #answeredContents = new AnsweredContents();

  readonly #quarantineHandlers: ((contentId: string) => void)[] = [];

  /** @param options - dependencies */
  constructor(options: CrashQuarantineOptions) {
    this.#options = options;
    const { paths } = options;
    this.#ledger = new CrashLedger({
      getNoteDelayMs: () => (paths.listTargets().length > 0 ? NOTE_SETTLE_MS : 0),
    });
    this.#trials = new TrialQueue({
      ...options,
      ledger: this.#ledger,
      notifyPeers: (notes) => this.#noteExchange.sendNotes(notes),
      review: () => this.#review(),
      refuseCalls: (contentId) => this.#refuseCalls(contentId),
    });
    this.#detector = new CrashDetector({
      ...options,
      createCrashId: (serverId) => paths.createCrashId(serverId),
      onCrash: (crash) => this.#handleCrash(crash),
    });
    this.#noteExchange = new CrashNoteExchange({
      ...options,
      ledger: this.#ledger,
      applyNotes: (notes) => this.#applyPeerNotes(notes),
      review: () => this.#review(),
    });
  }

  /** Starts exchanging crash notes with peers. */
  start(): void {
    this.#noteExchange.start();
  }

  /** Stops exchanging crash notes and cancels the timers. */
  stop(): void {
    this.#noteExchange.stop();
    this.#trials.stop();
    this.#settleTimer?.cancel();
  }

  /** @param handler - called with the ID of each content whose calls are refused from now on */
  onQuarantined(handler: (contentId: string) => void): void {
    this.#quarantineHandlers.push(handler);
  }

  /** Number of quarantined contents. */
  get quarantinedCount(): number {
    return this.#ledger.quarantinedCount;
  }

  /**
   * Checks whether a request may be sent to a server.
   *
   * @param contentId - content of the request
   * @param details - what else may crash servers, and who asks. Default: nothing, nobody known
   * @returns the refusal; undefined when the request may be sent or wait for a permit
   */
  findRefusal(
    contentId: string,
    details: Partial<RequestDetails> = {},
  ): SchedulerError | undefined {
    const request = buildScope(contentId, details);
    const heldId = request.causeIds.find((id) => this.#ledger.isHeld(id, request));
    const delayMs = heldId === undefined ? this.#trials.computeRetryAfterMs(request) : undefined;
    if (heldId === undefined && delayMs === undefined) return undefined;
    const nowMs = this.#options.clock.nowMs();
    this.#noteExchange.sendNotes(
      request.causeIds.flatMap((id) => this.#ledger.recordSeen(id, nowMs)),
    );
    return new SchedulerError(ErrorKind.RequestHeld, {
      message: `Cannot send the call: backend servers crashed while running ${heldId ?? contentId}`,
      ...(delayMs === undefined ? {} : { retryAfterMs: delayMs }),
    });
  }

  /**
   * Acquires a permit to send a request now. A request with a content or part on probation is sent
   * as a single trial, for which the permit is used up.
   *
   * @param contentId - content of the request
   * @param details - what else may crash servers, and who asks. Default: nothing, nobody known
   * @param hasTime - whether the caller's deadline leaves enough time for a trial. Default: true
   * @returns the permit, which tells whether and how the request may be sent
   */
  acquirePermit(contentId: string, details: Partial<RequestDetails> = {}, hasTime = true): Permit {
    return this.#trials.acquirePermit(buildScope(contentId, details), hasTime);
  }

  /**
   * Waits until a request may ask for a permit again.
   *
   * @param contentId - content of the request
   * @param resume - called once, when the request may ask again
   * @param details - what else may crash servers, and who asks. Default: nothing, nobody known
   * @returns function that ends the wait
   */
  waitForPermit(
    contentId: string,
    resume: () => void,
    details: Partial<RequestDetails> = {},
  ): () => void {
    return this.#trials.wait(buildScope(contentId, details), resume);
  }

  /** Records a lost run. @param run - a run whose connection was closed by its server */
  recordLostRun(run: LostRun): void {
    this.#detector.recordLostRun(run);
  }

  /**
   * Records an answer. Any answer shows that its server is alive; only a success shows that the
   * content is harmless.
   *
   * @param run - the run that was answered
   */
  recordAnswer(run: AnsweredRun): void {
    const { contentId, partIds = [], serverId, startedAtMs, hasSucceeded } = run;
    if (hasSucceeded) this.#clearCauses([contentId, ...partIds], startedAtMs);
    if (this.#ledger.isKnownBefore(serverId, startedAtMs)) this.#clearCrash(serverId);
  }

  #clearCauses(causeIds: readonly string[], startedAtMs: number): void {
    const nowMs = this.#options.clock.nowMs();
    causeIds.forEach((id) => this.#answeredContents.recordAnswer(id, nowMs, startedAtMs));
    if (this.#ledger.size === 0) return;
    const notes = causeIds.flatMap((id) => this.#ledger.clearContent(id, nowMs, startedAtMs));
    this.#publishStateChanges();
    this.#noteExchange.sendNotes(notes);
  }

  #handleCrash({ serverId, crashId, runs }: ServerCrash): void {
    const nowMs = this.#options.clock.nowMs();
    const contents = new Set(runs.map(({ contentId }) => contentId)).size;
    const notes = buildCrashNotes(crashId, runs, nowMs);
    this.#options.log.write(LogLevel.Warn, 'backend_server_crashed', {
      backendServer: serverId,
      crashId,
      lostRuns: runs.length,
      contents,
      causes: notes.length,
    });
    this.#options.metrics.count('backend_server_crashes_total');
    this.#noteExchange.sendNotes(this.#applyNotes(notes));
  }

  #applyPeerNotes(notes: readonly CrashNote[]): CrashNote[] {
    const news = this.#applyNotes(notes);
    // Tells the peers where this entry host has evidence that clears their suspects.
    this.#noteExchange.sendNotes(news.filter((note) => !notes.includes(note)));
    listRecentCrashIds(news).forEach((crashId) => this.#checkPeerCrash(crashId));
    return news;
  }

  /** Clears a peer's crash when the server still listens: only the peer's links were cut. */
  async #checkPeerCrash(crashId: string): Promise<void> {
    const serverId = this.#options.paths.readServerId(crashId);
    const address = this.#options.paths.findAddress(serverId);
    if (address === undefined || !(await this.#detector.isListening(serverId, address))) return;
    this.#clearCrash(crashId);
  }

  #clearCrash(crashId: string): void {
    const notes = this.#ledger.clearCrash(crashId, this.#options.clock.nowMs());
    this.#publishStateChanges();
    this.#noteExchange.sendNotes(notes);
  }

  /** @returns the notes that are new here, with this entry host's own evidence added */
  #applyNotes(notes: readonly CrashNote[]): CrashNote[] {
    const nowMs = this.#options.clock.nowMs();
    const reviewed = notes.map((note) => this.#answeredContents.addEvidence(note, nowMs));
    const news = this.#ledger.apply(reviewed, nowMs);
    listRecentCrashIds(news).forEach((crashId) => {
      this.#detector.recordCrash(this.#options.paths.readServerId(crashId), crashId);
    });
    this.#publishStateChanges();
    if (news.length > 0) this.#scheduleReview();
    return news;
  }

  #refuseCalls(contentId: string): void {
    this.#quarantineHandlers.forEach((handler) => handler(contentId));
  }

  /** Schedules a review for when peers' notes of other runs at a crash must have arrived. */
  #scheduleReview(): void {
    if (this.#settleTimer) return;
    const { clock } = this.#options;
    this.#settleTimer = clock.setTimer(NOTE_SETTLE_MS, () => {
      this.#settleTimer = undefined;
      this.#review();
    });
  }

  #review(): void {
    this.#ledger.review(this.#options.clock.nowMs());
    this.#publishStateChanges();
  }

  #publishStateChanges(): void {
    const { log, metrics, clock } = this.#options;
    const changes = this.#ledger.takeStateChanges();
    if (changes.length === 0) return;
    metrics.set('requests_held', this.#ledger.quarantinedCount);
    changes.forEach((change) => {
      logStateChange({ log, metrics }, change);
      const { contentId, isHeld } = change;
      if (!isHeld) return;
      this.#noteExchange.sendNotes(this.#ledger.listByContent(contentId, clock.nowMs()));
      this.#refuseCalls(contentId);
    });
    this.#trials.wakeCalls();
  }
}
