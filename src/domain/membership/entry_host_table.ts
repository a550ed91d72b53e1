/**
 * The entry hosts that were ever heard of, one incarnation each.
 *
 * @module
 */
import type { EntryHostIdentity } from './types.js';
import { PeerState } from './types.js';

/** How long a replaced incarnation is remembered, in milliseconds. */
const REPLACED_RETENTION_MS = 3_600_000;

/** One peer. */
export interface EntryHostRecord {
  readonly identity: EntryHostIdentity;
  /** When it last said anything, in milliseconds. */
  readonly heardAtMs: number;
  /** When the last question that it answered was sent, in milliseconds. */
  readonly answeredRequestSentAtMs: number;
  /** Write of the host list that was about an earlier incarnation. */
  readonly staleListIndex: number;
}

/** How the table judges. */
export interface EntryHostTableOptions {
  /** Silence after which a peer is suspected, in milliseconds. */
  readonly suspectAfterMs: number;
  /** Silence after which an unlisted peer is forgotten, in milliseconds. */
  readonly forgetAfterMs: number;
}

/** What became of an incarnation that was taken in. */
export interface AddedIncarnation {
  /** False when it was replaced before and its successor is not silent. */
  readonly accepted: boolean;
  /** Whom it replaced. */
  readonly replaced: EntryHostIdentity | undefined;
}

/** Keeps the newest incarnation of each entry host ID, this process left out. */
export class EntryHostTable {
  readonly #options: EntryHostTableOptions;

  readonly #records = new Map<string, EntryHostRecord>();

  readonly #idByIncarnation = new Map<string, string>();

  readonly #replacedAtMs = new Map<string, number>();

  /** @param options - how to judge */
  constructor(options: EntryHostTableOptions) {
    this.#options = options;
  }

  /**
   * Takes in an incarnation whose link came up or that was heard. A new one of a
   * known ID replaces the known one at once. One that was replaced stays so, since
   * a frozen process that wakes after its successor started would else take its
   * place again; it is taken back only when the successor is silent.
   *
   * @param identity - who it is
   * @param nowMs - monotonic time
   * @param listIndex - the host list's write for this ID, 0 if there is none
   * @returns whether it counts now, and whom it replaced
   */
  addIncarnation(identity: EntryHostIdentity, nowMs: number, listIndex: number): AddedIncarnation {
    if (this.#idByIncarnation.has(identity.incarnation))
      return { accepted: true, replaced: undefined };
    const known = this.#records.get(identity.id);
    const wasReplaced = this.#replacedAtMs.has(identity.incarnation);
    if (known && wasReplaced && !this.isSilent(known, nowMs)) {
      return { accepted: false, replaced: undefined };
    }
    if (known) this.#removeRecord(known, nowMs);
    this.#replacedAtMs.delete(identity.incarnation);
    this.#records.set(identity.id, {
      identity,
      heardAtMs: nowMs,
      answeredRequestSentAtMs: nowMs,
      staleListIndex: known ? listIndex : 0,
    });
    this.#idByIncarnation.set(identity.incarnation, identity.id);
    return { accepted: true, replaced: known?.identity };
  }

  /** @param incarnation - who said something. @param nowMs - monotonic time */
  noteHeard(incarnation: string, nowMs: number): void {
    this.#updateRecord(incarnation, { heardAtMs: nowMs });
  }

  /**
   * Takes an answer. What counts is when its question was sent: an answer that
   * was stuck on the way says nothing of the time after.
   *
   * @param incarnation - who answered
   * @param requestSentAtMs - when the question was sent
   */
  noteReply(incarnation: string, requestSentAtMs: number): void {
    const record = this.find(incarnation);
    if (!record || record.answeredRequestSentAtMs >= requestSentAtMs) return;
    this.#updateRecord(incarnation, { answeredRequestSentAtMs: requestSentAtMs });
  }

  /**
   * Starts the silence of some anew: it was this process that stood still, and all
   * peers would be suspected at once although they never stopped answering.
   *
   * @param nowMs - monotonic time of the wake
   * @param wasAnswering - whether an incarnation was not suspected before the pause
   */
  noteWake(nowMs: number, wasAnswering: (incarnation: string) => boolean): void {
    this.list()
      .filter(({ identity }) => wasAnswering(identity.incarnation))
      .forEach(({ identity }) =>
        this.#updateRecord(identity.incarnation, { answeredRequestSentAtMs: nowMs }),
      );
  }

  /**
   * Forgets peers that have been silent for long and are not listed any more.
   *
   * @param nowMs - monotonic time
   * @param isListed - whether the host list has an ID
   * @returns who was forgotten
   */
  prune(nowMs: number, isListed: (id: string) => boolean): readonly EntryHostIdentity[] {
    const forgotten = [...this.#records.values()].filter(
      ({ identity, heardAtMs }) =>
        nowMs - heardAtMs > this.#options.forgetAfterMs && !isListed(identity.id),
    );
    forgotten.forEach((record) => this.#removeRecord(record, nowMs));
    this.#replacedAtMs.forEach((atMs, incarnation) => {
      if (nowMs - atMs > REPLACED_RETENTION_MS) this.#replacedAtMs.delete(incarnation);
    });
    return forgotten.map(({ identity }) => identity);
  }

  /** @returns all peers */
  list(): readonly EntryHostRecord[] {
    return [...this.#records.values()];
  }

  /** @param incarnation - which one. @returns its record, unless it is gone or unknown */
  find(incarnation: string): EntryHostRecord | undefined {
    const id = this.#idByIncarnation.get(incarnation);
    return id === undefined ? undefined : this.#records.get(id);
  }

  /** @param record - whose silence. @param nowMs - monotonic time. @returns whether to suspect it */
  isSilent(record: EntryHostRecord, nowMs: number): boolean {
    return nowMs - record.answeredRequestSentAtMs > this.#options.suspectAfterMs;
  }

  /**
   * @param record - whose state
   * @param claimedState - what it and the host list say of it
   * @param nowMs - monotonic time
   * @returns its state; silence weighs more than any word
   */
  getState(record: EntryHostRecord, claimedState: PeerState, nowMs: number): PeerState {
    return this.isSilent(record, nowMs) ? PeerState.Suspected : claimedState;
  }

  #updateRecord(incarnation: string, change: Partial<EntryHostRecord>): void {
    const record = this.find(incarnation);
    if (record) this.#records.set(record.identity.id, { ...record, ...change });
  }

  #removeRecord({ identity }: EntryHostRecord, nowMs: number): void {
    this.#records.delete(identity.id);
    this.#idByIncarnation.delete(identity.incarnation);
    this.#replacedAtMs.set(identity.incarnation, nowMs);
  }
}
