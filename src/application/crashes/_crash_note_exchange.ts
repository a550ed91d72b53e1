/**
 * Exchanges crash notes with peers: which contents were running when backend servers crashed.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import type { CrashLedger, CrashNote } from '../../domain/crashes/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { CrashUpdateKind, PeerMessageType } from '../../ports/mod.js';
import type { Clock, CrashUpdateMessage, PeerNetwork, Timer } from '../../ports/mod.js';
import type { CrashPaths } from './crash_paths.js';

/**
 * Interval between digests to each peer, in milliseconds. An entry host that has just started, or
 * was cut off, catches up within one or two intervals; entry hosts that know of no crash send no
 * digests.
 */
const DIGEST_INTERVAL_MS = 1_000;

/** Maximum number of notes in one message, which then takes 12 KB. */
const MAX_MESSAGE_NOTES = 96;

/** News carry no digest: hashing the whole ledger would dominate the cost of sending them. */
const NO_DIGEST = '';

/** Options of {@link CrashNoteExchange}. */
export interface CrashNoteExchangeOptions {
  readonly clock: Clock;
  readonly peers: PeerNetwork;
  readonly paths: CrashPaths;
  readonly ledger: CrashLedger;
  /** Applies state changes of contents that have become due. */
  readonly review: () => void;
  /** Applies notes from a peer. Returns the notes to forward. */
  readonly applyNotes: (notes: readonly CrashNote[]) => readonly CrashNote[];
}

/**
 * Sends crash notes to peers at once, and periodic digests that repair lost messages and bring
 * new hosts up to date. A relay forwards notes to the peers that it alone connects.
 */
export class CrashNoteExchange {
  readonly #options: CrashNoteExchangeOptions;

  #timer: Timer | undefined;

  /** Cached hash of the ledger at a revision; it is read often and changes rarely. */
  #cachedDigest = { revision: -1, text: '' };

  /** Where the next offer's window begins, as one message can't hold all notes. */
  #windowStart = 0;

  /** @param options - dependencies and callbacks */
  constructor(options: CrashNoteExchangeOptions) {
    this.#options = options;
    options.peers.handle(PeerMessageType.CrashUpdate, (from, message) =>
      this.#handleUpdate(from, message),
    );
  }

  /** Starts sending digests. */
  start(): void {
    this.#timer = this.#options.clock.setTimer(DIGEST_INTERVAL_MS, () => this.#sendDigests());
  }

  /** Stops sending digests. */
  stop(): void {
    this.#timer?.cancel();
  }

  /** Sends notes to peers. @param notes - what this entry host observed */
  sendNotes(notes: readonly CrashNote[]): void {
    // This runs for each answered call, mostly without notes.
    if (notes.length > 0) this.#sendNews(this.#options.paths.listTargets(), notes);
  }

  #sendDigests(): void {
    const { ledger, paths, clock } = this.#options;
    ledger.expire(clock.nowMs());
    this.#options.review();
    if (ledger.size > 0) {
      const digest = this.#computeDigest();
      paths.listTargets().forEach((peer) => this.#send(peer, CrashUpdateKind.Digest, [], digest));
    }
    this.start();
  }

  #handleUpdate(from: EntryHostIdentity, { kind, digest, notes }: CrashUpdateMessage): void {
    const { applyNotes, paths } = this.#options;
    const newNotes = applyNotes(notes);
    this.#sendNews(paths.listForwardTargets(from), newNotes);
    if (kind === CrashUpdateKind.News || kind === CrashUpdateKind.Answer) return;
    const ownDigest = this.#computeDigest();
    if (ownDigest === digest) return;
    const replyKind =
      kind === CrashUpdateKind.Digest ? CrashUpdateKind.Offer : CrashUpdateKind.Answer;
    this.#send(from, replyKind, this.#listWindow(), ownDigest);
  }

  #sendNews(peers: readonly EntryHostIdentity[], notes: readonly CrashNote[]): void {
    if (peers.length === 0 || notes.length === 0) return;
    for (let from = 0; from < notes.length; from += MAX_MESSAGE_NOTES) {
      const chunk = notes.slice(from, from + MAX_MESSAGE_NOTES);
      peers.forEach((peer) => this.#send(peer, CrashUpdateKind.News, chunk, NO_DIGEST));
    }
  }

  #send(
    peer: EntryHostIdentity,
    kind: CrashUpdateKind,
    notes: readonly CrashNote[],
    digest: string,
  ): void {
    const type = PeerMessageType.CrashUpdate;
    this.#options.peers.send(peer.incarnation, { type, kind, digest, notes });
  }

  /** Lists the heaviest notes, and a window over the others that advances with each call. */
  #listWindow(): CrashNote[] {
    const { ledger, clock } = this.#options;
    const notes = ledger.list(clock.nowMs());
    if (notes.length <= MAX_MESSAGE_NOTES) return notes;
    const half = MAX_MESSAGE_NOTES / 2;
    const rest = notes.slice(half);
    this.#windowStart = (this.#windowStart + half) % rest.length;
    const windowNotes = [
      ...rest.slice(this.#windowStart),
      ...rest.slice(0, this.#windowStart),
    ].slice(0, half);
    return [...notes.slice(0, half), ...windowNotes];
  }

  #computeDigest(): string {
    const { ledger, clock } = this.#options;
    if (this.#cachedDigest.revision === ledger.revision) return this.#cachedDigest.text;
    const lines = ledger.list(clock.nowMs()).map(
      ({ contentId, crashId, state, isVouched = false, isExcused = false, isHeld, trials = [] }) =>
        `${contentId} ${crashId} ${state} ${isVouched} ${isExcused} ${isHeld} ${trials
          .map(({ id, isVoid = false }) => `${id}${isVoid}`)
          .sort()
          .join()}\n`,
    );
    const text = createHash('sha256').update(lines.sort().join('')).digest('base64url');
    this.#cachedDigest = { revision: ledger.revision, text };
    return text;
  }
}
