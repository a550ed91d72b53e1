/**
 * Remembers where streams began.
 *
 * @module
 */
import { BoundedMap } from '../collections/mod.js';
import type { StreamOrigin } from './software_version.js';

/** What is known of a stream. */
export type OriginRecord =
  | { readonly kind: OriginKind.Known; readonly origin: StreamOrigin }
  | { readonly kind: OriginKind.Ambiguous };

/** Whether it is known where a stream began. */
export enum OriginKind {
  Known = 'known',
  /** One ID was used for streams of several versions, so that it names none of them. */
  Ambiguous = 'ambiguous',
}

/** Record of an ID that names no single stream. */
export const AMBIGUOUS_ORIGIN: OriginRecord = { kind: OriginKind.Ambiguous };

/** Effect of a record on the table. */
export enum RecordEffect {
  /** The table holds the record now, or held it already. */
  Kept = 'kept',
  /** It contradicts an earlier one: the table now holds that the stream is ambiguous. */
  Contradicts = 'contradicts',
}

interface KeptRecord {
  readonly record: OriginRecord;
  readonly recordedAtMs: number;
}

/** A record and its age. */
export interface AgedRecord {
  readonly key: string;
  readonly record: OriginRecord;
  readonly ageMs: number;
}

/**
 * Holds records by key for a limited time. A full table forgets the oldest ones: their streams are
 * unknown then, which ends them but never continues them at another version.
 */
export class OriginTable {
  readonly #records: BoundedMap<KeptRecord>;

  /** Known records by service and version, so that all keys of one share it. */
  readonly #shared = new Map<string, OriginRecord>();

  /** @param capacity - maximum number of records */
  constructor(capacity: number) {
    this.#records = new BoundedMap(capacity);
  }

  /** Number of records. */
  get size(): number {
    return this.#records.size;
  }

  /**
   * Adds or renews a record.
   *
   * @param key - key of the stream
   * @param record - what is known of it
   * @param recordedAtMs - when that was known, on the monotonic clock in milliseconds
   * @returns the effect
   */
  record(key: string, record: OriginRecord, recordedAtMs: number): RecordEffect {
    const previous = this.#records.get(key);
    const isSame = !previous || isSameRecord(previous.record, record);
    const renewedAtMs = Math.max(recordedAtMs, previous?.recordedAtMs ?? recordedAtMs);
    const kept = isSame ? this.#share(record) : AMBIGUOUS_ORIGIN;
    this.#records.set(key, { record: kept, recordedAtMs: renewedAtMs });
    const isContradiction = !isSame && previous.record.kind === OriginKind.Known;
    return isContradiction ? RecordEffect.Contradicts : RecordEffect.Kept;
  }

  /** @param key - key of a stream. @returns what is known of it; undefined if nothing is */
  find(key: string): OriginRecord | undefined {
    return this.#records.get(key)?.record;
  }

  /**
   * @param key - key of a stream
   * @param nowMs - monotonic time in milliseconds
   * @returns what is known of it, and its age; undefined if nothing is
   */
  findAged(key: string, nowMs: number): AgedRecord | undefined {
    const kept = this.#records.get(key);
    return kept && { key, record: kept.record, ageMs: nowMs - kept.recordedAtMs };
  }

  /** @param beforeMs - removes all records that were last renewed before this time */
  removeOlderThan(beforeMs: number): void {
    this.#records
      .listEntries()
      .filter(([, { recordedAtMs }]) => recordedAtMs < beforeMs)
      .forEach(([key]) => this.#records.delete(key));
  }

  /** @returns keys of all records */
  listKeys(): readonly string[] {
    return this.#records.listEntries().map(([key]) => key);
  }

  #share(record: OriginRecord): OriginRecord {
    if (record.kind === OriginKind.Ambiguous) return AMBIGUOUS_ORIGIN;
    const name = `${record.origin.serviceId}\n${record.origin.version}`;
    const shared = this.#shared.get(name) ?? record;
    this.#shared.set(name, shared);
    return shared;
  }
}

function isSameRecord(one: OriginRecord, other: OriginRecord): boolean {
  if (one.kind === OriginKind.Ambiguous || other.kind === OriginKind.Ambiguous)
    return one.kind === other.kind;
  const { serviceId, version } = one.origin;
  return serviceId === other.origin.serviceId && version === other.origin.version;
}
