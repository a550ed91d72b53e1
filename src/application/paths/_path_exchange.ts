/**
 * One request on its way to a backend server.
 *
 * @module
 */
import { BackendFailure } from '../../ports/mod.js';
import type {
  BackendExchange,
  BackendHead,
  BackendListener,
  BackendRequest,
  ServerNotice,
  Timer,
} from '../../ports/mod.js';
import type { PathBackendClientOptions } from './path_backend_client.js';

/** Time without a sign of any server after which the server of a request is checked, in ms. */
const ALL_SILENT_MS = 250;

/** Time without a sign of the server of a request after which it is checked, in milliseconds. */
const SERVER_SILENT_MS = 1_000;

/** Longest time for which a request waits for a way to its server, in milliseconds. */
const MAX_WAIT_MS = 1_000;

/** Interval at which it looks for one, in milliseconds. */
const WAIT_STEP_MS = 50;

/** Time for a connection over an own link that may be back, in milliseconds. */
const OWN_TRY_MS = 100;

/** Options of a {@link PathExchange}. */
export interface PathExchangeOptions extends PathBackendClientOptions {
  readonly request: BackendRequest;
  readonly listener: BackendListener;
  /** Called once, when the exchange has ended. */
  readonly onEnd: () => void;
}

/**
 * Sends a request on one way, and changes to another one only while nothing of it was sent. The
 * listener hears of one exchange.
 */
export class PathExchange implements BackendExchange {
  readonly #options: PathExchangeOptions;

  readonly #startedAtMs: number;

  #exchange: BackendExchange | undefined;

  #timer: Timer | undefined;

  #isDirect = false;

  /** Whether the own link is tried although it was cut a moment ago. */
  #isTry = false;

  #tryTimer: Timer | undefined;

  /** Why the server could not be connected to over the own link; undefined before that was tried. */
  #directReason: string | undefined;

  /** Whether the end of the answer is marked, by a length or by chunks. */
  #isFramed = false;

  #hasEnded = false;

  /** @param options - the request, its listener and the ways */
  constructor(options: PathExchangeOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.nowMs();
  }

  /** Sends the request. The listener is never called before this method returns. */
  start(): void {
    const { paths, request, checks, clock } = this.#options;
    const { incarnationId } = request;
    if (paths.isUnreachable(incarnationId, this.#startedAtMs)) {
      this.#timer = clock.setTimer(0, () => this.#failUnreachable());
      return;
    }
    const isCut = paths.isCut(incarnationId);
    if (isCut && paths.takeTry(incarnationId, this.#startedAtMs)) {
      this.#tryOwnLink();
      return;
    }
    if (isCut) checks.recheck(request);
    if (isCut && this.#startThroughPeer()) return;
    if (paths.isLossConfirmed || paths.mayHaveLostAll(this.#startedAtMs)) this.#waitForWay();
    else this.#startDirect();
  }

  get mayHaveBeenSent(): boolean {
    return this.#exchange?.mayHaveBeenSent === true;
  }

  cancel(): void {
    this.#finish();
    this.#exchange?.cancel();
  }

  /** Goes through a peer from now on, if the path is cut and no connection is open yet. */
  replaceCutPath(): void {
    const { paths, request, proxies } = this.#options;
    if (this.#hasEnded || !this.#isDirect || !paths.isCut(request.incarnationId)) return;
    if (this.mayHaveBeenSent || !proxies.hasPeers) return;
    this.#exchange?.cancel();
    this.#timer?.cancel();
    if (!this.#startThroughPeer()) this.#waitForWay();
  }

  /** Goes through a peer after all, unless a connection opens at once. */
  #tryOwnLink(): void {
    const { clock } = this.#options;
    this.#isTry = true;
    this.#startDirect();
    this.#tryTimer = clock.setTimer(OWN_TRY_MS, () => this.replaceCutPath());
  }

  #startThroughPeer(): boolean {
    this.#isDirect = false;
    const { request, proxies, clock } = this.#options;
    const deadlineMs = Math.max(1, request.deadlineMs - (clock.nowMs() - this.#startedAtMs));
    this.#exchange = proxies.send({ ...request, deadlineMs }, this.#buildPeerListener());
    return this.#exchange !== undefined;
  }

  /** @returns whether a peer has the request now */
  #replaceFailedTry(): boolean {
    this.#isTry = false;
    this.#timer?.cancel();
    return this.#startThroughPeer();
  }

  /** Waits while the host finds out whether a peer reaches the server. Nothing is sent yet. */
  #waitForWay(): void {
    const { paths, request, clock, checks } = this.#options;
    this.#isDirect = false;
    this.#exchange = undefined;
    checks.watch();
    const nowMs = clock.nowMs();
    const isOver = nowMs - this.#startedAtMs >= MAX_WAIT_MS;
    if (paths.isUnreachable(request.incarnationId, nowMs) || isOver) this.#failUnreachable();
    else if (paths.isCut(request.incarnationId) && this.#startThroughPeer()) this.#timer?.cancel();
    else if (!paths.reachesNothing && !paths.isCut(request.incarnationId)) this.#retryDirect();
    else this.#timer = clock.setTimer(WAIT_STEP_MS, () => this.#waitForWay());
  }

  /** The own links work: a server that did not answer before is left to the next try of the call. */
  #retryDirect(): void {
    if (this.#directReason === undefined) this.#startDirect();
    else this.#fail(BackendFailure.NotSent, this.#directReason);
  }

  #startDirect(): void {
    this.#isDirect = true;
    const { direct, request } = this.#options;
    this.#exchange = direct.send(request, this.#buildDirectListener());
    if (!this.#hasEnded) this.#watchSilence(ALL_SILENT_MS);
  }

  /** A request that was written to a silent connection can't be moved, but later ones can. */
  #watchSilence(afterMs: number): void {
    const { clock, paths, request, checks } = this.#options;
    const waitMs = this.#startedAtMs + afterMs - clock.nowMs();
    this.#timer = clock.setTimer(Math.max(0, waitMs), () => {
      const serverReachedAtMs = paths.findReachedAt(request.incarnationId) ?? -Infinity;
      const reachedAtMs = afterMs < SERVER_SILENT_MS ? paths.lastReachedAtMs : serverReachedAtMs;
      if (reachedAtMs < this.#startedAtMs) checks.check(request);
      if (afterMs < SERVER_SILENT_MS) this.#watchSilence(SERVER_SILENT_MS);
    });
  }

  #buildDirectListener(): BackendListener {
    const { request, checks, listener, paths, clock } = this.#options;
    return {
      onNotice: (notice, isAuthentic) => {
        this.#recordReached();
        listener.onNotice(notice, isAuthentic);
      },
      onHead: (head) => {
        this.#recordReached();
        this.#handleHead(head);
      },
      onBody: (bytes) => {
        this.#recordReached();
        listener.onBody(bytes);
      },
      onComplete: () => {
        this.#recordReached();
        this.#complete();
      },
      onFailure: (failure, reason) => {
        const hasNotConnected = failure === BackendFailure.NotSent;
        if (hasNotConnected && this.#isTry && this.#replaceFailedTry()) return;
        if (hasNotConnected || failure === BackendFailure.Lost)
          checks.check(request, hasNotConnected);
        this.#directReason = reason;
        if (hasNotConnected && paths.mayHaveLostAll(clock.nowMs())) this.#waitForWay();
        else this.#fail(failure, reason);
      },
    };
  }

  #buildPeerListener(): BackendListener {
    const { listener, checks, request } = this.#options;
    return {
      onNotice: (notice: ServerNotice, isAuthentic: boolean) =>
        listener.onNotice(notice, isAuthentic),
      onHead: (head) => this.#handleHead(head),
      onBody: (bytes: Buffer) => listener.onBody(bytes),
      onComplete: () => this.#complete(),
      onFailure: (failure, reason) => {
        if (failure === BackendFailure.NotSent) checks.check(request);
        this.#fail(failure, reason);
      },
    };
  }

  #recordReached(): void {
    const { paths, request, clock } = this.#options;
    this.#timer?.cancel();
    paths.recordReached(request.incarnationId, clock.nowMs());
  }

  #failUnreachable(): void {
    this.#fail(BackendFailure.NotSent, 'no host could connect a moment ago');
  }

  #handleHead(head: BackendHead): void {
    this.#isFramed = head.isFramed;
    this.#options.listener.onHead(head);
  }

  #complete(): void {
    if (this.#isFramed) this.#passEnd();
    else this.#confirmEnd();
  }

  async #confirmEnd(): Promise<void> {
    const { request, unmarkedEnds } = this.#options;
    const hasServerEnded = await unmarkedEnds.hasServerEnded(request);
    if (this.#hasEnded) return;
    if (hasServerEnded) this.#fail(BackendFailure.Lost, 'the backend server ended in its answer');
    else this.#passEnd();
  }

  #passEnd(): void {
    this.#finish();
    this.#options.listener.onComplete();
  }

  #fail(failure: BackendFailure, reason: string): void {
    this.#finish();
    this.#options.listener.onFailure(failure, reason);
  }

  #finish(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#timer?.cancel();
    this.#tryTimer?.cancel();
    this.#options.onEnd();
  }
}
