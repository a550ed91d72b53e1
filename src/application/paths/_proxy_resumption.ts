/**
 * Goes on with requests through peers after a link to one of these was lost.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { Clock, LinkEvent, PeerNetwork, ResumedExchange, Timer } from '../../ports/mod.js';
import { MAX_CLOSED_MS, MAX_SUSPENSION_MS } from './_resume_times.js';

/** Interval at which a peer is asked to go on until it confirms that, in milliseconds. */
const ASK_INTERVAL_MS = 400;

/** Dependencies of {@link ProxyResumption}. */
export interface ProxyResumptionOptions {
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  /** @returns exchanges in flight through a peer process */
  readonly listExchanges: (peer: string) => readonly ResumedExchange[];
  /** Called when a peer process does not go on with its exchanges. */
  readonly onLost: (peer: string) => void;
  /** Called when a peer process goes on, with the time for which it was away. */
  readonly onResumed: (peer: string, awayMs: number) => void;
}

/** A peer process whose exchanges wait until it goes on with them. */
interface SuspendedPeer {
  readonly identity: EntryHostIdentity;
  readonly sinceMs: number;
  lossTimer: Timer;
  askTimer: Timer | undefined;
  /** First question over the present link; undefined while there is none. */
  firstResumeId: number | undefined;
}

/** Asks each peer process whose link is back to go on, and gives it up after a while. */
export class ProxyResumption {
  readonly #options: ProxyResumptionOptions;

  /** By incarnation. */
  readonly #suspended = new Map<string, SuspendedPeer>();

  /** Until when peer processes that were given up may have runs of this host, in monotonic ms. */
  readonly #abandonedUntilMs = new Map<string, number>();

  #lastResumeId = 0;

  /** @param options - dependencies */
  constructor(options: ProxyResumptionOptions) {
    this.#options = options;
    const { peers } = options;
    peers.handle(PeerMessageType.ProxyResumed, ({ incarnation }, { resumeId }) =>
      this.#handleResumed(incarnation, resumeId),
    );
    peers.onLinkChange((event) => {
      if (event.up) this.#handleLinkUp(event.peer);
      else this.#handleLinkDown(event);
    });
  }

  /** @returns incarnations of the peer processes whose exchanges wait */
  listSuspended(): readonly string[] {
    return [...this.#suspended.keys()];
  }

  /** @param peer - incarnation of a peer. @returns whether its exchanges wait until it goes on */
  isSuspended(peer: string): boolean {
    return this.#suspended.has(peer);
  }

  /**
   * Asks a linked peer process to send events again that were lost.
   *
   * @param peer - its incarnation
   * @returns false if it doesn't know how to
   */
  requestMissing(peer: string): boolean {
    const identity = this.#options.peers
      .listLinkedPeers()
      .find(({ incarnation }) => incarnation === peer);
    if (identity?.resumesExchanges !== true) return false;
    const suspended = this.#suspend(identity, MAX_SUSPENSION_MS);
    if (suspended.firstResumeId === undefined) this.#ask(suspended);
    return true;
  }

  /** Ends all timers. */
  stop(): void {
    [...this.#suspended.keys()].forEach((peer) => this.#remove(peer));
  }

  #handleLinkDown({ peer, wasSilent }: LinkEvent): void {
    if (peer.resumesExchanges !== true) {
      this.#options.onLost(peer.incarnation);
      return;
    }
    const suspended = this.#suspend(peer, wasSilent ? MAX_SUSPENSION_MS : MAX_CLOSED_MS);
    suspended.askTimer?.cancel();
    suspended.firstResumeId = undefined;
  }

  #suspend(identity: EntryHostIdentity, limitMs: number): SuspendedPeer {
    const { incarnation } = identity;
    const known = this.#suspended.get(incarnation);
    if (known) return known;
    const { clock } = this.#options;
    const suspended: SuspendedPeer = {
      identity,
      sinceMs: clock.nowMs(),
      lossTimer: this.#startLossTimer(incarnation, limitMs),
      askTimer: undefined,
      firstResumeId: undefined,
    };
    this.#suspended.set(incarnation, suspended);
    return suspended;
  }

  /** A new process of the peer's host has taken the place of the former one. */
  #handleLinkUp(peer: EntryHostIdentity): void {
    const { id, incarnation } = peer;
    [...this.#suspended.values()]
      .filter(({ identity }) => identity.id === id && identity.incarnation !== incarnation)
      .forEach(({ identity }) => this.#giveUp(identity.incarnation));
    const suspended = this.#suspended.get(incarnation) ?? this.#suspendAbandoned(peer);
    if (!suspended) return;
    // The process is there, so its word is worth waiting for.
    suspended.lossTimer.cancel();
    const lossTimer = this.#startLossTimer(incarnation, MAX_SUSPENSION_MS);
    Object.assign(suspended, { lossTimer });
    this.#ask(suspended);
  }

  /** A peer that was given up may still run what nobody wants any more. */
  #suspendAbandoned(peer: EntryHostIdentity): SuspendedPeer | undefined {
    const untilMs = this.#abandonedUntilMs.get(peer.incarnation) ?? Number.NEGATIVE_INFINITY;
    this.#abandonedUntilMs.delete(peer.incarnation);
    const mayRun = this.#options.clock.nowMs() < untilMs;
    return mayRun ? this.#suspend(peer, MAX_SUSPENSION_MS) : undefined;
  }

  #startLossTimer(incarnation: string, limitMs: number): Timer {
    return this.#options.clock.setTimer(limitMs, () => this.#giveUp(incarnation));
  }

  /** The list may be empty: then the peer ends whatever it still sends for this host. */
  #ask(suspended: SuspendedPeer): void {
    const { peers, clock, listExchanges } = this.#options;
    const { incarnation } = suspended.identity;
    this.#lastResumeId += 1;
    Object.assign(suspended, { firstResumeId: suspended.firstResumeId ?? this.#lastResumeId });
    peers.send(incarnation, {
      type: PeerMessageType.ProxyResume,
      resumeId: this.#lastResumeId,
      exchanges: listExchanges(incarnation),
    });
    Object.assign(suspended, {
      askTimer: clock.setTimer(ASK_INTERVAL_MS, () => this.#ask(suspended)),
    });
  }

  #handleResumed(peer: string, resumeId: number): void {
    const suspended = this.#suspended.get(peer);
    if (!suspended || resumeId < (suspended.firstResumeId ?? Infinity)) return;
    this.#remove(peer);
    this.#options.onResumed(peer, this.#options.clock.nowMs() - suspended.sinceMs);
  }

  #giveUp(peer: string): void {
    this.#remove(peer);
    this.#recordAbandoned(peer);
    this.#options.onLost(peer);
  }

  #recordAbandoned(peer: string): void {
    const nowMs = this.#options.clock.nowMs();
    this.#abandonedUntilMs.forEach((untilMs, incarnation) => {
      if (untilMs <= nowMs) this.#abandonedUntilMs.delete(incarnation);
    });
    this.#abandonedUntilMs.set(peer, nowMs + MAX_SUSPENSION_MS);
  }

  #remove(peer: string): void {
    const suspended = this.#suspended.get(peer);
    suspended?.lossTimer.cancel();
    suspended?.askTimer?.cancel();
    this.#suspended.delete(peer);
  }
}
