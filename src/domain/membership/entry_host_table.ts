/**
 * Tracks the peers of an entry host and detects those that have fallen silent.
 *
 * @module
 */
import type { EntryHostIdentity } from './types.js';
import { PeerState } from './types.js';

/** Time for which a replaced or forgotten incarnation is remembered, in milliseconds. */
const REPLACED_RETENTION_MS = 3_600_000;

/** What is known of one peer. */
export interface EntryHostRecord {
  readonly identity: EntryHostIdentity;
  /** Monotonic time of the last message from the peer, in milliseconds. */
  readonly lastContactAtMs: number;
  /** Monotonic time at which the last request that the peer answered was sent, in milliseconds. */
  readonly answeredRequestSentAtMs: number;
  /** Index of the host list write that described an earlier incarnation; 0 if there is none. */
  readonly outdatedListIndex: number;
}

/** Time limits of an {@link EntryHostTable}. */
export interface EntryHostTableOptions {
  /** Silence after which a peer is suspected, in milliseconds. */
  readonly suspectAfterMs: number;
  /** Silence after which a peer that the host list lacks is forgotten, in milliseconds. */
  readonly forgetAfterMs: number;
}

/** Result of adding an incarnation. */
export interface AddedIncarnation {
  /** False if the incarnation was replaced earlier and its successor is not silent. */
  readonly accepted: boolean;
  /** The incarnation that it replaced, if any. */
  readonly replaced: EntryHostIdentity | undefined;
}

/** Holds the current incarnation of each peer, by entry host ID; this process is not included. */
export class EntryHostTable {
  readonly #options: EntryHostTableOptions;

  readonly #records = new Map<string, EntryHostRecord>();

  readonly #idByIncarnation = new Map<string, string>();

  /** Monotonic time of replacement or removal, by incarnation. */
  readonly #replacedAtMs = new Map<string, number>();

  /** @param options - time limits */
  constructor(options: EntryHostTableOptions) {
    this.#options = options;
  }

  /**
   * Adds an incarnation whose link was established or that sent a message. A new incarnation
   * of a known ID replaces the known one at once. A replaced incarnation is accepted again
   * only if its successor is silent: otherwise a frozen process that resumes after its
   * successor started would replace that successor.
   *
   * @param identity - the incarnation's identity
   * @param nowMs - monotonic time
   * @param listIndex - index of the host list write for this ID, 0 if there is none
   * @returns whether the incarnation is accepted, and which one it replaced
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
      lastContactAtMs: nowMs,
      answeredRequestSentAtMs: nowMs,
      outdatedListIndex: known ? listIndex : 0,
    });
    this.#idByIncarnation.set(identity.incarnation, identity.id);
    return { accepted: true, replaced: known?.identity };
  }

  /** @param incarnation - sender of a message. @param nowMs - monotonic time of its receipt */
  recordContact(incarnation: string, nowMs: number): void {
    this.#updateRecord(incarnation, { lastContactAtMs: nowMs });
  }

  /**
   * Records a reply. It proves the peer alive only at the time when the request was sent,
   * since the reply itself may have been delayed on the way.
   *
   * @param incarnation - sender of the reply
   * @param requestSentAtMs - monotonic time at which the request was sent
   */
  recordReply(incarnation: string, requestSentAtMs: number): void {
    const record = this.find(incarnation);
    if (!record || record.answeredRequestSentAtMs >= requestSentAtMs) return;
    this.#updateRecord(incarnation, { answeredRequestSentAtMs: requestSentAtMs });
  }

  /**
   * Restarts the silence timeout of the peers that answered before a pause of this process.
   * Otherwise all peers would be suspected at once although they never stopped answering.
   *
   * @param nowMs - monotonic time at which the process resumed
   * @param wasAnswering - returns whether an incarnation was not suspected before the pause
   */
  recordWake(nowMs: number, wasAnswering: (incarnation: string) => boolean): void {
    this.list()
      .filter(({ identity }) => wasAnswering(identity.incarnation))
      .forEach(({ identity }) =>
        this.#updateRecord(identity.incarnation, { answeredRequestSentAtMs: nowMs }),
      );
  }

  /**
   * Forgets peers that sent no message for the configured time and that the host list lacks.
   *
   * @param nowMs - monotonic time
   * @param isListed - returns whether the host list contains an ID
   * @returns the forgotten peers
   */
  prune(nowMs: number, isListed: (id: string) => boolean): readonly EntryHostIdentity[] {
    const forgotten = [...this.#records.values()].filter(
      ({ identity, lastContactAtMs }) =>
        nowMs - lastContactAtMs > this.#options.forgetAfterMs && !isListed(identity.id),
    );
    forgotten.forEach((record) => this.#removeRecord(record, nowMs));
    this.#replacedAtMs.forEach((atMs, incarnation) => {
      if (nowMs - atMs > REPLACED_RETENTION_MS) this.#replacedAtMs.delete(incarnation);
    });
    return forgotten.map(({ identity }) => identity);
  }

  /** @returns the records of all peers */
  list(): readonly EntryHostRecord[] {
    return [...this.#records.values()];
  }

  /** @param incarnation - a peer. @returns its record; undefined if it is gone or unknown */
  find(incarnation: string): EntryHostRecord | undefined {
    const id = this.#idByIncarnation.get(incarnation);
    return id === undefined ? undefined : this.#records.get(id);
  }

  /** @param record - a peer. @param nowMs - monotonic time. @returns whether to suspect it */
  isSilent(record: EntryHostRecord, nowMs: number): boolean {
    return nowMs - record.answeredRequestSentAtMs > this.#options.suspectAfterMs;
  }

  /**
   * @param record - a peer
   * @param claimedState - the peer's state according to itself and the host list
   * @param nowMs - monotonic time
   * @returns `suspected` for a silent peer, whatever state is claimed; else the claimed state
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
