/**
 * Monitors the liveness of the links to peers.
 *
 * @module
 */
import type { Clock, Timer } from '../../ports/mod.js';
import { LinkEndCause } from './_peer_link.js';
import type { PeerLink } from './_peer_link.js';

/** Options of {@link LinkMonitor}. */
export interface LinkMonitorOptions {
  readonly clock: Clock;
  /** Time without received data after which a link is pinged, in ms; also the check interval. */
  readonly pingAfterMs: number;
  /** Time without received data after which a link is ended, in milliseconds. */
  readonly linkTimeoutMs: number;
  /** Returns all links, including those in their handshake. */
  readonly listLinks: () => readonly PeerLink[];
}

/** Pings quiet links, and ends silent links and stalled handshakes. */
export class LinkMonitor {
  readonly #options: LinkMonitorOptions;

  #timer: Timer | undefined;

  #lastCheckAtMs = 0;

  /** @param options - clock, time limits and the links */
  constructor(options: LinkMonitorOptions) {
    this.#options = options;
  }

  /** Starts the periodic checks. */
  start(): void {
    this.#lastCheckAtMs = this.#options.clock.nowMs();
    this.#scheduleCheck();
  }

  /** Stops the periodic checks. */
  stop(): void {
    this.#timer?.cancel();
  }

  #scheduleCheck(): void {
    this.#timer = this.#options.clock.setTimer(this.#options.pingAfterMs, () => {
      this.#scheduleCheck();
      this.#checkLinks();
    });
  }

  #checkLinks(): void {
    const { clock, linkTimeoutMs: timeoutMs, listLinks } = this.#options;
    const nowMs = clock.nowMs();
    const wasPaused = nowMs - this.#lastCheckAtMs >= timeoutMs;
    this.#lastCheckAtMs = nowMs;
    listLinks().forEach((link) => {
      // After a pause of this process all links seem silent, as received data is not read yet.
      if (wasPaused) link.recordReceived();
      this.#checkLink(link, nowMs - link.receivedAtMs);
    });
  }

  #checkLink(link: PeerLink, silentMs: number): void {
    const { pingAfterMs, linkTimeoutMs: timeoutMs } = this.#options;
    if (silentMs >= timeoutMs) link.end(LinkEndCause.Silent, `silent for ${silentMs} ms`);
    else if (silentMs >= pingAfterMs) link.sendPing();
  }
}
