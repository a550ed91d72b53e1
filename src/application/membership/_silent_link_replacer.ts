/**
 * Replaces links to peers that no longer reply to heartbeats.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { Clock, EventLog, Metrics, PeerNetwork } from '../../ports/mod.js';

/** Dependencies of {@link SilentLinkReplacer}. */
export interface SilentLinkReplacerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly peers: PeerNetwork;
  /** Minimum time between two replacements of the same link, in milliseconds. */
  readonly suspectAfterMs: number;
  /** Returns whether a peer does not reply to heartbeats. */
  readonly isSilent: (incarnation: string) => boolean;
}

/**
 * Replaces links whose peer does not reply. A middlebox can lose track of a
 * connection without notifying either end, while new connections work. Without a
 * replacement, a running peer would stay suspected forever.
 */
export class SilentLinkReplacer {
  readonly #options: SilentLinkReplacerOptions;

  readonly #replacedAtMs = new Map<string, number>();

  /** @param options - clock, log, metrics, links and the silence check */
  constructor(options: SilentLinkReplacerOptions) {
    this.#options = options;
  }

  /** Replaces every link that is silent now and was not replaced recently. */
  replaceSilentLinks(): void {
    const { clock, log, metrics, peers } = this.#options;
    const nowMs = clock.nowMs();
    this.#expireReplacements(nowMs);
    peers
      .listLinkedPeers()
      .filter(({ incarnation }) => this.#mustReplace(incarnation))
      .forEach(({ id, incarnation }) => {
        this.#replacedAtMs.set(incarnation, nowMs);
        log.write(LogLevel.Warn, 'peer_link_silent', { entryHost: id, incarnation });
        metrics.count('peer_links_replaced_total');
        peers.replaceLink(incarnation);
      });
  }

  #mustReplace(incarnation: string): boolean {
    return this.#options.isSilent(incarnation) && !this.#replacedAtMs.has(incarnation);
  }

  #expireReplacements(nowMs: number): void {
    this.#replacedAtMs.forEach((atMs, incarnation) => {
      if (nowMs - atMs >= this.#options.suspectAfterMs) this.#replacedAtMs.delete(incarnation);
    });
  }
}
