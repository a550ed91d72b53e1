/**
 * Exchanges accepted entries with peers.
 *
 * @module
 */
import { buildDigest, compareDigest } from '../../domain/configuration/mod.js';
import type {
  AcceptedEntry,
  ConfigurationState,
  RawEntry,
} from '../../domain/configuration/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/types.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { Clock, ConfigurationEntry, PeerNetwork, Timer } from '../../ports/mod.js';
import { splitEntries } from './_entry_batches.js';

/** Least time between two digests to one peer, in milliseconds. */
export const PEER_DIGEST_INTERVAL_MS = 1000;

/** Least time between two digests to anybody, in milliseconds. */
export const DIGEST_INTERVAL_MS = 200;

/** Most peers that are told of a change at once; they tell others in turn. */
export const MAX_TOLD_PEERS = 16;

/** How long equal revisions with different hashes must last to count as a clash, in milliseconds. */
export const CLASH_PATIENCE_MS = 3000;

/** What the exchange needs. */
export interface PeerExchangeOptions {
  readonly clock: Clock;
  readonly peers: PeerNetwork;
  readonly getState: () => ConfigurationState;
  /** The hash over the accepted entries. */
  readonly getHash: () => string;
  /** Whether this entry host's entries may be taken as an answer. */
  readonly hasLoaded: () => boolean;
  /** Called with entries of a peer. */
  readonly onEntries: (entries: readonly RawEntry[], from: EntryHostIdentity) => void;
  /** Called when a peer's answer to a digest is whole. */
  readonly onAnswered: () => void;
}

/** What was last heard of a peer whose entries differ. */
interface Difference {
  readonly hashes: string;
  readonly sinceMs: number;
}

/** The exchange of one entry host. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;

  readonly #askedAtMs = new Map<string, number>();

  readonly #differences = new Map<string, Difference>();

  #lastAskedAtMs = -Infinity;

  #nextPeer = 0;

  #timer: Timer | undefined;

  /** @param options - what the exchange needs */
  constructor(options: PeerExchangeOptions) {
    this.#options = options;
  }

  /** Answers peers from now on, and asks them until this entry host has loaded. */
  start(): void {
    const { peers } = this.#options;
    peers.handle(PeerMessageType.ConfigurationDigest, (from, { revisions }) => {
      this.#handleDigest(from, revisions);
    });
    peers.handle(PeerMessageType.ConfigurationEntries, (from, { entries }) => {
      this.#handleEntries(from, entries);
    });
    peers.onLink(({ peer, up }) => {
      if (!up) this.#remove(peer.incarnation);
      else if (!this.#options.hasLoaded()) this.sendDigest(peer.incarnation);
    });
    this.#sendNextDigest();
  }

  /** Stops asking. */
  stop(): void {
    this.#timer?.cancel();
  }

  /**
   * Asks a peer for what it has beyond this entry host, unless it or others
   * were asked a moment ago; the next heartbeat brings the next chance.
   *
   * @param incarnation - which peer
   */
  sendDigest(incarnation: string): void {
    const { clock, getState, peers } = this.#options;
    const nowMs = clock.nowMs();
    const askedAtMs = this.#askedAtMs.get(incarnation) ?? -Infinity;
    if (nowMs - askedAtMs < PEER_DIGEST_INTERVAL_MS) return;
    if (nowMs - this.#lastAskedAtMs < DIGEST_INTERVAL_MS) return;
    const revisions = buildDigest(getState());
    if (!peers.send(incarnation, { type: PeerMessageType.ConfigurationDigest, revisions })) return;
    this.#askedAtMs.set(incarnation, nowMs);
    this.#lastAskedAtMs = nowMs;
  }

  /**
   * Notes that a peer's entries differ from those here.
   *
   * @param incarnation - which peer
   * @param hash - the peer's hash
   */
  noteDifference(incarnation: string, hash: string): void {
    const hashes = `${this.#options.getHash()} ${hash}`;
    if (this.#differences.get(incarnation)?.hashes === hashes) return;
    this.#differences.set(incarnation, { hashes, sinceMs: this.#options.clock.nowMs() });
  }

  /**
   * Tells linked peers of entries that came into force, so that those which
   * can't read the service hear of them at once. At most
   * {@link MAX_TOLD_PEERS} are told, others each time; whoever hears news tells
   * it on, and heartbeats make up for whoever was left out.
   *
   * @param entries - what came into force
   * @param exceptFor - the peer that sent them
   */
  notify(entries: readonly AcceptedEntry[], exceptFor?: string): void {
    const linked = this.#options.peers
      .listLinked()
      .filter(({ incarnation }) => incarnation !== exceptFor);
    const count = Math.min(linked.length, MAX_TOLD_PEERS);
    const told = Array.from(
      { length: count },
      (_, at) => linked[(this.#nextPeer + at) % linked.length],
    );
    this.#nextPeer += count;
    told.forEach((peer) => {
      if (peer) this.#send(peer.incarnation, entries);
    });
  }

  #sendNextDigest(): void {
    const { clock, hasLoaded, peers } = this.#options;
    if (hasLoaded()) return;
    const linked = peers.listLinked();
    const peer = linked[this.#nextPeer % Math.max(1, linked.length)];
    this.#nextPeer += 1;
    if (peer) this.sendDigest(peer.incarnation);
    this.#timer = clock.setTimer(DIGEST_INTERVAL_MS, () => this.#sendNextDigest());
  }

  /**
   * An entry host that has not loaded yet gives no answer. Its empty one would
   * be taken by a peer that starts at the same time as a sign that nothing is
   * newer than what a stale service says.
   */
  #handleDigest(from: EntryHostIdentity, revisions: Readonly<Record<string, number>>): void {
    const { getState, hasLoaded, peers } = this.#options;
    if (!hasLoaded()) return;
    const state = getState();
    const { ahead, isBehind } = compareDigest(state, revisions);
    const isClash = ahead.length === 0 && !isBehind && this.#hasClash(from.incarnation);
    this.#send(from.incarnation, isClash ? [...state.entries.values()] : ahead);
    // An empty message ends the answer: the peer knows now that it has heard everything.
    peers.send(from.incarnation, { type: PeerMessageType.ConfigurationEntries, entries: [] });
    if (isBehind) this.sendDigest(from.incarnation);
  }

  /**
   * Two entry hosts can hold different values at one revision after the service
   * was put back to an older state. Their digests are equal then and their
   * hashes stay different; without this step they would never agree.
   */
  #hasClash(incarnation: string): boolean {
    const difference = this.#differences.get(incarnation);
    if (!difference) return false;
    const isCurrent = difference.hashes.startsWith(`${this.#options.getHash()} `);
    const ageMs = this.#options.clock.nowMs() - difference.sinceMs;
    return isCurrent && ageMs >= CLASH_PATIENCE_MS;
  }

  #handleEntries(from: EntryHostIdentity, entries: readonly ConfigurationEntry[]): void {
    const { onAnswered, onEntries } = this.#options;
    if (entries.length === 0) onAnswered();
    else onEntries(entries.map(readEntry), from);
  }

  #send(incarnation: string, entries: readonly AcceptedEntry[]): void {
    splitEntries(entries).forEach((batch) => {
      this.#options.peers.send(incarnation, {
        type: PeerMessageType.ConfigurationEntries,
        entries: batch.map(({ key, revision, value }) => ({ key, revision, value })),
      });
    });
  }

  #remove(incarnation: string): void {
    this.#askedAtMs.delete(incarnation);
    this.#differences.delete(incarnation);
  }
}

/** The link's encoding may turn an absent value into null. */
function readEntry({ key, revision, value }: ConfigurationEntry): RawEntry {
  return { key, revision, value: value ?? undefined };
}
