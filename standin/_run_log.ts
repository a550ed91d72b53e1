/**
 * Records every run that a stand-in backend server starts.
 *
 * @module
 */
import { appendFileSync, existsSync, readFileSync } from 'node:fs';

/** One run, as `GET /_standin/runs` returns it. */
export interface RunRecord {
  readonly requestId: string;
  readonly account: string;
  readonly service: string;
  readonly backendServer: string;
  readonly method: string;
  readonly path: string;
  /** Time at which the complete body had arrived, in milliseconds since the Unix epoch. */
  readonly started: number;
  /** Time at which the response was complete, in ms since the Unix epoch; null before that. */
  finished: number | null;
  cancelled: boolean;
  /** Number of prompt tokens that were computed. */
  prefillTokens: number;
  /** Number of prompt tokens that the prefix cache held. */
  cachedTokens: number;
  outputTokens: number;
}

/** The fields of a run that are known at its start. */
export type RunStart = Pick<
  RunRecord,
  'requestId' | 'account' | 'service' | 'backendServer' | 'method' | 'path'
>;

/** One line of the file: a run and its position in the log. */
interface SavedRun {
  readonly number: number;
  readonly record: RunRecord;
}

/**
 * Keeps every run, so that duplicate and lost runs are counted at the backend server itself.
 * With a file the runs outlive the process; otherwise the record of a server's runs would be
 * lost when the server is killed.
 */
export class RunLog {
  readonly #records: RunRecord[];

  readonly #numbers = new WeakMap<RunRecord, number>();

  /** @param file - file that stores the runs; undefined keeps them in memory only */
  constructor(readonly file: string | undefined) {
    this.#records = file === undefined ? [] : readRunFile(file);
  }

  /**
   * Records the start of a run.
   *
   * @param start - fields that are known at the start
   * @returns the record, which the caller mutates as the run proceeds
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

  /** Appends the current state of a run to the file. @param record - a run that has changed */
  update(record: RunRecord): void {
    if (this.file === undefined) return;
    const number = this.#numbers.get(record);
    if (number === undefined) return;
    const saved: SavedRun = { number, record };
    appendFileSync(this.file, `${JSON.stringify(saved)}\n`);
  }

  /** @returns all runs so far */
  list(): readonly RunRecord[] {
    return this.#records;
  }
}

/**
 * Reads the runs from the file of a stand-in.
 *
 * @param file - the file; it may not exist yet
 * @returns the runs, each in the state that was written last
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
