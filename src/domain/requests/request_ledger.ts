/**
 * The ledger of all requests that one incarnation of an entry host owns.
 *
 * @module
 */
import { ErrorKind, RunOutcome, SchedulerError } from '../errors/mod.js';
import { RequestRecord } from './request_record.js';
import { RequestState } from './request_state.js';
import type { RequestId } from './request_id.js';

/** Fingerprint of a record that was created without a call. */
const VOID_FINGERPRINT = '';

/** Result of accepting a call with a request ID. */
export interface Acceptance {
  readonly record: RequestRecord;
  /** Whether this is the first call with the ID, which may run; false for each later copy. */
  readonly isFirst: boolean;
}

/**
 * Holds an owner's requests by nonce. A record is kept until its ID has expired, so that a
 * late copy of a call can't run again because its ID was forgotten. Issued IDs that were never
 * used take no memory, since their MAC proves their origin.
 */
export class RequestLedger {
  readonly #incarnation: string;

  readonly #records = new Map<string, RequestRecord>();

  #latestWallMs = 0;

  /** @param incarnation - the owner's incarnation; IDs of any other incarnation are refused */
  constructor(incarnation: string) {
    this.#incarnation = incarnation;
  }

  /** Number of records that are kept now. */
  get size(): number {
    return this.#records.size;
  }

  /**
   * Accepts a call. The first call with an ID creates the record; later calls find that record,
   * whatever the outcome of the first one.
   *
   * @param id - the call's request ID, whose MAC has been checked
   * @param fingerprint - hash of the call
   * @param wallMs - the owner's wall clock
   * @returns the record, and whether this call is the first one, which may run
   * @throws SchedulerError of kind OwnerGone, RequestIdMismatch or RequestIdExpired
   */
  accept(id: RequestId, fingerprint: string, wallMs: number): Acceptance {
    this.#checkOwner(id);
    const known = this.#records.get(id.nonce);
    if (known) {
      if (known.fingerprint !== fingerprint && known.fingerprint !== VOID_FINGERPRINT)
        throw buildMismatchError(known);
      return { record: known, isFirst: false };
    }
    if (this.isExpired(id, wallMs)) throw buildExpiredError(id);
    const record = new RequestRecord(id, fingerprint);
    this.#records.set(id.nonce, record);
    return { record, isFirst: true };
  }

  /**
   * Finds a request.
   *
   * @param id - the request's ID, whose MAC has been checked
   * @param wallMs - the owner's wall clock
   * @returns the record; undefined if the ID is unused and has not expired
   * @throws SchedulerError of kind OwnerGone or RequestIdExpired
   */
  find(id: RequestId, wallMs: number): RequestRecord | undefined {
    this.#checkOwner(id);
    const known = this.#records.get(id.nonce);
    if (!known && this.isExpired(id, wallMs)) throw buildExpiredError(id);
    return known;
  }

  /**
   * Refuses an unused ID, so that a call with that ID which is still on its way won't run.
   *
   * @param id - the request ID, whose MAC has been checked
   * @param error - error that later calls with the ID receive
   * @param wallMs - the owner's wall clock
   * @returns the existing record of the ID, or a new one that is refused
   */
  voidId(id: RequestId, error: SchedulerError, wallMs: number): RequestRecord {
    const known = this.find(id, wallMs);
    if (known) return known;
    const { record } = this.accept(id, VOID_FINGERPRINT, wallMs);
    record.endWithError(error);
    return record;
  }

  /**
   * Checks a request right before the hand-over of its body. If the process was paused after
   * it had decided to dispatch the request, the ID may have expired meanwhile, and the caller
   * may have been told long ago that the owner is unreachable.
   *
   * @param record - the request
   * @param wallMs - the owner's wall clock
   * @returns whether the body may be handed over
   */
  mayHandOver(record: RequestRecord, wallMs: number): boolean {
    return (
      record.state === RequestState.Dispatching &&
      this.#records.get(record.id.nonce) === record &&
      !this.isExpired(record.id, wallMs)
    );
  }

  /**
   * @param id - a request ID
   * @param wallMs - the owner's wall clock
   * @returns whether the ID has expired
   */
  isExpired(id: RequestId, wallMs: number): boolean {
    // The latest time ever seen decides: otherwise a wall clock that is set back would make an
    // expired ID, whose record has been removed, valid again.
    this.#latestWallMs = Math.max(this.#latestWallMs, wallMs);
    return this.#latestWallMs >= id.expiresAtMs;
  }

  /**
   * Removes the records of final requests whose IDs have expired.
   *
   * @param wallMs - the owner's wall clock
   * @returns the removed records
   */
  prune(wallMs: number): readonly RequestRecord[] {
    const pruned = [...this.#records.values()].filter(
      (record) => record.isFinal && this.isExpired(record.id, wallMs),
    );
    pruned.forEach((record) => this.#records.delete(record.id.nonce));
    return pruned;
  }

  /** @returns the records of all requests that are not in a final state */
  listOpen(): readonly RequestRecord[] {
    return [...this.#records.values()].filter((record) => !record.isFinal);
  }

  #checkOwner(id: RequestId): void {
    if (id.incarnation === this.#incarnation) return;
    throw new SchedulerError(ErrorKind.OwnerGone, {
      message: `Cannot tell the outcome of the request: incarnation ${id.incarnation} of ${id.ownerId} is gone`,
      requestId: id.text,
    });
  }
}

function buildMismatchError(known: RequestRecord): SchedulerError {
  return new SchedulerError(ErrorKind.RequestIdMismatch, {
    message: 'Cannot accept the call: its request ID was used for another call',
    run: known.run,
    requestId: known.id.text,
  });
}

function buildExpiredError(id: RequestId): SchedulerError {
  return new SchedulerError(ErrorKind.RequestIdExpired, {
    message: 'Cannot accept the call: its request ID has expired',
    run: RunOutcome.MayHaveRun,
    requestId: id.text,
  });
}
