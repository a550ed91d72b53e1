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
    if (isCut && paths.takeCheck(incarnationId, this.#startedAtMs)) checks.check(request);
    if (!isCut || !this.#startThroughPeer()) this.#startDirect();
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
    if (!this.#startThroughPeer()) this.#fail(BackendFailure.NotSent, 'no peer takes the request');
  }

  #startThroughPeer(): boolean {
    this.#isDirect = false;
    const { request, proxies, clock } = this.#options;
    const deadlineMs = Math.max(1, request.deadlineMs - (clock.nowMs() - this.#startedAtMs));
    this.#exchange = proxies.send({ ...request, deadlineMs }, this.#buildPeerListener());
    return this.#exchange !== undefined;
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
    const { request, checks, listener } = this.#options;
    return {
      onNotice: (notice, isAuthentic) => {
        this.#recordReached();
        listener.onNotice(notice, isAuthentic);
      },
      onHead: (head) => {
        this.#recordReached();
        listener.onHead(head);
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
        const isOutOfReach = failure === BackendFailure.NotSent || failure === BackendFailure.Lost;
        if (isOutOfReach) checks.check(request, failure === BackendFailure.NotSent);
        this.#fail(failure, reason);
      },
    };
  }

  #buildPeerListener(): BackendListener {
    const { listener } = this.#options;
    return {
      onNotice: (notice: ServerNotice, isAuthentic: boolean) =>
        listener.onNotice(notice, isAuthentic),
      onHead: (head: BackendHead) => listener.onHead(head),
      onBody: (bytes: Buffer) => listener.onBody(bytes),
      onComplete: () => this.#complete(),
      onFailure: (failure, reason) => this.#fail(failure, reason),
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

  #complete(): void {
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
    this.#options.onEnd();
  }
}
