/**
 * Every request that one incarnation of an entry host owns.
 *
 * @module
 */
import { ErrorKind, RunOutcome, SchedulerError } from '../errors/mod.js';
import { RequestRecord } from './request_record.js';
import { RequestState } from './request_state.js';
import type { RequestId } from './request_id.js';

/** Fingerprint of a record that was made without a call. */
const VOID_FINGERPRINT = '';

/** What became of a call that came with a request ID. */
export interface Acceptance {
  readonly record: RequestRecord;
  /** True for the one call that may run; false for each later copy of it. */
  readonly isFirst: boolean;
}

/**
 * Requests by nonce. A record stays until its ID has expired, so that no copy
 * of a call can find its ID forgotten and run again. IDs that were given out
 * and never used take no room: the MAC proves them.
 */
export class RequestLedger {
  readonly #incarnation: string;

  readonly #records = new Map<string, RequestRecord>();

  #latestWallMs = 0;

  /** @param incarnation - the owner's; IDs of any other are turned away */
  constructor(incarnation: string) {
    this.#incarnation = incarnation;
  }

  /** Records that are kept now. */
  get size(): number {
    return this.#records.size;
  }

  /**
   * Takes in a call. The first call with an ID makes the record, later ones
   * find it, whatever became of the first.
   *
   * @param id - the call's ID, its MAC checked
   * @param fingerprint - hash of the call
   * @param wallMs - the owner's wall clock
   * @returns the record, and whether this call is the one that may run
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
   * @param id - its ID, the MAC checked
   * @param wallMs - the owner's wall clock
   * @returns the record; undefined when the ID was never used and still may be
   * @throws SchedulerError of kind OwnerGone or RequestIdExpired
   */
  find(id: RequestId, wallMs: number): RequestRecord | undefined {
    this.#checkOwner(id);
    const known = this.#records.get(id.nonce);
    if (!known && this.isExpired(id, wallMs)) throw buildExpiredError(id);
    return known;
  }

  /**
   * Uses an ID up without a call, so that a copy still on its way won't run.
   *
   * @param id - its ID, the MAC checked
   * @param error - what later copies are told
   * @param wallMs - the owner's wall clock
   * @returns the record
   */
  void(id: RequestId, error: SchedulerError, wallMs: number): RequestRecord {
    const known = this.find(id, wallMs);
    if (known) return known;
    const { record } = this.accept(id, VOID_FINGERPRINT, wallMs);
    record.refuse(error);
    return record;
  }

  /**
   * The last check, right before the body leaves. A process that was paused
   * between its decision and this moment finds its ID expired here, when its
   * callers may have been told long ago that it can't be reached.
   *
   * @param record - the request
   * @param wallMs - the owner's wall clock
   * @returns whether the body may leave
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
   * @returns whether its life is over
   */
  isExpired(id: RequestId, wallMs: number): boolean {
    // A wall clock that is set back would bring an expired ID, whose record is
    // gone, to life again. The latest time ever seen decides.
    this.#latestWallMs = Math.max(this.#latestWallMs, wallMs);
    return this.#latestWallMs >= id.expiresAtMs;
  }

  /**
   * Forgets final requests whose IDs have expired.
   *
   * @param wallMs - the owner's wall clock
   * @returns the forgotten records
   */
  prune(wallMs: number): readonly RequestRecord[] {
    const pruned = [...this.#records.values()].filter(
      (record) => record.isFinal && this.isExpired(record.id, wallMs),
    );
    pruned.forEach((record) => this.#records.delete(record.id.nonce));
    return pruned;
  }

  /** @returns requests that are not final */
  listOpen(): readonly RequestRecord[] {
    return [...this.#records.values()].filter((record) => !record.isFinal);
  }

  #checkOwner(id: RequestId): void {
    if (id.incarnation === this.#incarnation) return;
    throw new SchedulerError(ErrorKind.OwnerGone, {
      message: `Cannot tell what became of the request: incarnation ${id.incarnation} of ${id.ownerId} is gone`,
      requestId: id.text,
    });
  }
}

function buildMismatchError(known: RequestRecord): SchedulerError {
  return new SchedulerError(ErrorKind.RequestIdMismatch, {
    message: 'Cannot take the call: its request ID was used for another call',
    run: known.run,
    requestId: known.id.text,
  });
}

function buildExpiredError(id: RequestId): SchedulerError {
  return new SchedulerError(ErrorKind.RequestIdExpired, {
    message: 'Cannot take the call: its request ID has expired',
    run: RunOutcome.MayHaveRun,
    requestId: id.text,
  });
}
