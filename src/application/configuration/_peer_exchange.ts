/**
 * Exchanges accepted configuration entries with peers.
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

/** Minimum time between two digests to the same peer, in milliseconds. */
export const MIN_PEER_DIGEST_INTERVAL_MS = 1000;

/** Minimum time between two digests to any peers, in milliseconds. */
export const MIN_DIGEST_INTERVAL_MS = 200;

/** Maximum number of peers that are notified of one change; they notify further peers in turn. */
export const MAX_NOTIFIED_PEERS = 16;

/**
 * How long the hashes must differ at equal revisions before this counts as a
 * conflict, in milliseconds.
 */
export const CONFLICT_CONFIRMATION_MS = 3000;

/** Dependencies and callbacks of {@link PeerExchange}. */
export interface PeerExchangeOptions {
  readonly clock: Clock;
  readonly peers: PeerNetwork;
  readonly getState: () => ConfigurationState;
  /** Returns the hash over this entry host's accepted entries. */
  readonly getHash: () => string;
  /** Returns whether this entry host has loaded its configuration and may reply to peers. */
  readonly hasLoaded: () => boolean;
  /** Called with entries that a peer has sent. */
  readonly onEntries: (entries: readonly RawEntry[], from: EntryHostIdentity) => void;
  /** Called when a peer's reply to a digest is complete. */
  readonly onReplyComplete: () => void;
}

/** The current difference between this entry host's entries and those of one peer. */
interface HashDifference {
  /** Hash of this entry host, a space and the peer's hash. */
  readonly hashes: string;
  readonly firstSeenAtMs: number;
}

/** Synchronizes accepted entries between one entry host and its peers. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;

  readonly #digestSentAtMs = new Map<string, number>();

  readonly #differences = new Map<string, HashDifference>();

  #lastDigestSentAtMs = -Infinity;

  #nextPeerIndex = 0;

  #timer: Timer | undefined;

  /** @param options - dependencies and callbacks */
  constructor(options: PeerExchangeOptions) {
    this.#options = options;
  }

  /** Starts to reply to peers, and sends them digests until this entry host has loaded. */
  start(): void {
    const { peers } = this.#options;
    peers.handle(PeerMessageType.ConfigurationDigest, (from, { revisions }) => {
      this.#handleDigest(from, revisions);
    });
    peers.handle(PeerMessageType.ConfigurationEntries, (from, { entries }) => {
      this.#handleEntries(from, entries);
    });
    peers.onLinkChange(({ peer, up }) => {
      if (!up) this.#removePeer(peer.incarnation);
      else if (!this.#options.hasLoaded()) this.sendDigest(peer.incarnation);
    });
    this.#sendNextDigest();
  }

  /** Stops the periodic digests. */
  stop(): void {
    this.#timer?.cancel();
  }

  /**
   * Sends a digest, which asks a peer for the entries that this entry host lacks.
   * Skips it if a digest was sent to this peer or to any peer within the minimum
   * interval; the peer's next heartbeat gives the next opportunity.
   *
   * @param incarnation - incarnation of the peer
   */
  sendDigest(incarnation: string): void {
    const { clock, getState, peers } = this.#options;
    const nowMs = clock.nowMs();
    const sentAtMs = this.#digestSentAtMs.get(incarnation) ?? -Infinity;
    if (nowMs - sentAtMs < MIN_PEER_DIGEST_INTERVAL_MS) return;
    if (nowMs - this.#lastDigestSentAtMs < MIN_DIGEST_INTERVAL_MS) return;
    const revisions = buildDigest(getState());
    if (!peers.send(incarnation, { type: PeerMessageType.ConfigurationDigest, revisions })) return;
    this.#digestSentAtMs.set(incarnation, nowMs);
    this.#lastDigestSentAtMs = nowMs;
  }

  /**
   * Records that a peer's entries differ from those of this entry host.
   *
   * @param incarnation - incarnation of the peer
   * @param hash - the hash over the peer's entries
   */
  recordDifference(incarnation: string, hash: string): void {
    const hashes = `${this.#options.getHash()} ${hash}`;
    if (this.#differences.get(incarnation)?.hashes === hashes) return;
    this.#differences.set(incarnation, { hashes, firstSeenAtMs: this.#options.clock.nowMs() });
  }

  /**
   * Sends entries that took effect to linked peers, so that peers which can't read
   * the service receive them at once. Each call notifies the next
   * {@link MAX_NOTIFIED_PEERS} peers in rotation. Receivers forward new entries, and
   * heartbeats bring the rest up to date.
   *
   * @param entries - the entries that took effect
   * @param excludedIncarnation - the peer that the entries came from, if any
   */
  notifyPeers(entries: readonly AcceptedEntry[], excludedIncarnation?: string): void {
    const linked = this.#options.peers
      .listLinkedPeers()
      .filter(({ incarnation }) => incarnation !== excludedIncarnation);
    const count = Math.min(linked.length, MAX_NOTIFIED_PEERS);
    const recipients = Array.from(
      { length: count },
      (_, at) => linked[(this.#nextPeerIndex + at) % linked.length],
    );
    this.#nextPeerIndex += count;
    recipients.forEach((peer) => {
      if (peer) this.#sendEntries(peer.incarnation, entries);
    });
  }

  #sendNextDigest(): void {
    const { clock, hasLoaded, peers } = this.#options;
    if (hasLoaded()) return;
    const linked = peers.listLinkedPeers();
    const peer = linked[this.#nextPeerIndex % Math.max(1, linked.length)];
    this.#nextPeerIndex += 1;
    if (peer) this.sendDigest(peer.incarnation);
    this.#timer = clock.setTimer(MIN_DIGEST_INTERVAL_MS, () => this.#sendNextDigest());
  }

  /**
   * Replies to a digest, unless this entry host has not loaded yet. A peer that starts
   * at the same time would take an empty reply as confirmation that the entries of
   * a stale service are the newest.
   */
  #handleDigest(from: EntryHostIdentity, revisions: Readonly<Record<string, number>>): void {
    const { getState, hasLoaded, peers } = this.#options;
    if (!hasLoaded()) return;
    const state = getState();
    const { ahead, isBehind } = compareDigest(state, revisions);
    const isConflict = ahead.length === 0 && !isBehind && this.#hasConflict(from.incarnation);
    this.#sendEntries(from.incarnation, isConflict ? [...state.entries.values()] : ahead);
    // An empty message marks the end of the reply.
    peers.send(from.incarnation, { type: PeerMessageType.ConfigurationEntries, entries: [] });
    if (isBehind) this.sendDigest(from.incarnation);
  }

  /**
   * Detects that a peer has a different value at the same revision, which can happen
   * after the service was restored to an older state. The digests are then equal
   * while the hashes stay different, and digests alone would never resolve it.
   */
  #hasConflict(incarnation: string): boolean {
    const difference = this.#differences.get(incarnation);
    if (!difference) return false;
    const isCurrent = difference.hashes.startsWith(`${this.#options.getHash()} `);
    const ageMs = this.#options.clock.nowMs() - difference.firstSeenAtMs;
    return isCurrent && ageMs >= CONFLICT_CONFIRMATION_MS;
  }

  #handleEntries(from: EntryHostIdentity, entries: readonly ConfigurationEntry[]): void {
    const { onReplyComplete, onEntries } = this.#options;
    if (entries.length === 0) onReplyComplete();
    else onEntries(entries.map(normalizeEntry), from);
  }

  #sendEntries(incarnation: string, entries: readonly AcceptedEntry[]): void {
    splitEntries(entries).forEach((batch) => {
      this.#options.peers.send(incarnation, {
        type: PeerMessageType.ConfigurationEntries,
        entries: batch.map(({ key, revision, value }) => ({ key, revision, value })),
      });
    });
  }

  #removePeer(incarnation: string): void {
    this.#digestSentAtMs.delete(incarnation);
    this.#differences.delete(incarnation);
  }
}

/** Replaces a null value by undefined; the link's encoding may turn an absent value into null. */
function normalizeEntry({ key, revision, value }: ConfigurationEntry): RawEntry {
  return { key, revision, value: value ?? undefined };
}
