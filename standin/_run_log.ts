/**
 * The record of every run that a stand-in started.
 *
 * @module
 */
import { appendFileSync, existsSync, readFileSync } from 'node:fs';

/** One run, as `GET /_standin/runs` tells it. */
export interface RunRecord {
  readonly requestId: string;
  readonly account: string;
  readonly service: string;
  readonly backendServer: string;
  readonly method: string;
  readonly path: string;
  /** When the body had arrived whole, in milliseconds since the Unix epoch. */
  readonly started: number;
  /** When the answer was whole, in milliseconds since the Unix epoch; null before. */
  finished: number | null;
  cancelled: boolean;
  /** Prompt tokens that were computed. */
  prefillTokens: number;
  /** Prompt tokens that the cache held. */
  cachedTokens: number;
  outputTokens: number;
}

/** What is known of a run at its start. */
export type RunStart = Pick<
  RunRecord,
  'requestId' | 'account' | 'service' | 'backendServer' | 'method' | 'path'
>;

interface SavedRun {
  readonly number: number;
  readonly record: RunRecord;
}

/**
 * Keeps every run, so that doubles and losses are counted where they would
 * hurt. With a file, the runs outlive the process: a backend server that was
 * killed would otherwise take the proof of its runs along.
 */
export class RunLog {
  readonly #records: RunRecord[];

  readonly #numbers = new WeakMap<RunRecord, number>();

  /** @param file - where the runs are kept; undefined: in memory only */
  constructor(readonly file: string | undefined) {
    this.#records = file === undefined ? [] : readRunFile(file);
  }

  /**
   * Records that a run starts.
   *
   * @param start - what is known of it
   * @returns the record, to be kept up to date
   */
  record(start: RunStart): RunRecord {
    const record: RunRecord = {
      ...start,
      started: Date.now(),
      finished: null,
      cancelled: false,
      prefillTokens: 0,
      cachedTokens: 0,
      outputTokens: 0,
    };
    this.#numbers.set(record, this.#records.length);
    this.#records.push(record);
    this.update(record);
    return record;
  }

  /** @param record - a run that has changed, to be written to the file */
  update(record: RunRecord): void {
    if (this.file === undefined) return;
    const number = this.#numbers.get(record);
    if (number === undefined) return;
    const saved: SavedRun = { number, record };
    appendFileSync(this.file, `${JSON.stringify(saved)}\n`);
  }

  /** @returns every run so far */
  list(): readonly RunRecord[] {
    return this.#records;
  }
}

/**
 * Reads the runs that a stand-in wrote to its file.
 *
 * @param file - the file; it may not exist yet
 * @returns the runs, each as it was written last
 */
export function readRunFile(file: string): RunRecord[] {
  if (!existsSync(file)) return [];
  const records: RunRecord[] = [];
  readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as SavedRun)
    .forEach(({ number, record }) => {
      records[number] = record;
    });
  return records;
}
