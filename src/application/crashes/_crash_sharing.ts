/**
 * Tells peers which contents were running when servers ended, and hears it from them.
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
 * Time between two digests to each peer, in milliseconds. Whoever has just started, or was cut
 * off, hears within one or two of them what happened before; entry hosts that know of no crash
 * say nothing.
 */
const DIGEST_INTERVAL_MS = 1_000;

/** Most notes in one message: 12 KB. */
const MAX_NOTES = 96;

/** News are compared with nothing: a hash over everything for each would be the most of their work. */
const NO_DIGEST = '';

/** What the sharing needs. */
export interface CrashSharingOptions {
  readonly clock: Clock;
  readonly peers: PeerNetwork;
  readonly paths: CrashPaths;
  readonly ledger: CrashLedger;
  /** Judges anew what time has decided. */
  readonly review: () => void;
  /** Takes notes of a peer in. Returns what is to be passed on. */
  readonly apply: (notes: readonly CrashNote[]) => readonly CrashNote[];
}

/**
 * News go out at once; digests make up for those that were lost, and for hosts that were not
 * there. A relay passes news on to those that hear of them through it alone.
 */
export class CrashSharing {
  readonly #options: CrashSharingOptions;

  #timer: Timer | undefined;

  /** Hash over what the ledger held at a revision: it is asked for often, and changes rarely. */
  #digest = { revision: -1, text: '' };

  /** Where the next offer begins, as not everything fits into one. */
  #cursor = 0;

  /** @param options - what the sharing needs */
  constructor(options: CrashSharingOptions) {
    this.#options = options;
    options.peers.handle(PeerMessageType.CrashUpdate, (from, message) =>
      this.#handle(from, message),
    );
  }

  /** Begins to send digests. */
  start(): void {
    this.#timer = this.#options.clock.setTimer(DIGEST_INTERVAL_MS, () => this.#tick());
  }

  /** Sends no more of them. */
  stop(): void {
    this.#timer?.cancel();
  }

  /** @param notes - what has happened here */
  notify(notes: readonly CrashNote[]): void {
    // Each answered call comes here, mostly with nothing to tell.
    if (notes.length > 0) this.#sendNews(this.#options.paths.listTargets(), notes);
  }

  #tick(): void {
    const { ledger, paths, clock } = this.#options;
    ledger.expire(clock.nowMs());
    this.#options.review();
    if (ledger.size > 0) {
      const digest = this.#computeDigest();
      paths.listTargets().forEach((peer) => this.#send(peer, CrashUpdateKind.Digest, [], digest));
    }
    this.start();
  }

  #handle(from: EntryHostIdentity, { kind, digest, notes }: CrashUpdateMessage): void {
    const { apply, paths } = this.#options;
    const news = apply(notes);
    this.#sendNews(paths.listFurther(from), news);
    if (kind === CrashUpdateKind.News || kind === CrashUpdateKind.Answer) return;
    const own = this.#computeDigest();
    if (own === digest) return;
    const answer = kind === CrashUpdateKind.Digest ? CrashUpdateKind.Offer : CrashUpdateKind.Answer;
    this.#send(from, answer, this.#listWindow(), own);
  }

  #sendNews(peers: readonly EntryHostIdentity[], notes: readonly CrashNote[]): void {
    if (peers.length === 0 || notes.length === 0) return;
    for (let from = 0; from < notes.length; from += MAX_NOTES) {
      const part = notes.slice(from, from + MAX_NOTES);
      peers.forEach((peer) => this.#send(peer, CrashUpdateKind.News, part, NO_DIGEST));
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

  /** The heaviest always, and a part of the others that moves on each time. */
  #listWindow(): CrashNote[] {
    const { ledger, clock } = this.#options;
    const notes = ledger.list(clock.nowMs());
    if (notes.length <= MAX_NOTES) return notes;
    const half = MAX_NOTES / 2;
    const rest = notes.slice(half);
    this.#cursor = (this.#cursor + half) % rest.length;
    const moving = [...rest.slice(this.#cursor), ...rest.slice(0, this.#cursor)].slice(0, half);
    return [...notes.slice(0, half), ...moving];
  }

  #computeDigest(): string {
    const { ledger, clock } = this.#options;
    if (this.#digest.revision === ledger.revision) return this.#digest.text;
    const lines = ledger.list(clock.nowMs()).map(
      ({ contentId, crashId, state, isVouched = false, isHeld, trials = [] }) =>
        `${contentId} ${crashId} ${state} ${isVouched} ${isHeld} ${trials
          .map(({ id, isVoid = false }) => `${id}${isVoid}`)
          .sort()
          .join()}\n`,
    );
    const text = createHash('sha256').update(lines.sort().join('')).digest('base64url');
    this.#digest = { revision: ledger.revision, text };
    return text;
  }
}
