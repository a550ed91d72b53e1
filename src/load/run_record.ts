/**
 * Reads the runs that stand-in backend servers recorded.
 *
 * @module
 */
import * as z from 'zod';

const recordSchema = z.looseObject({
  requestId: z.string().nullish(),
  account: z.string().nullish(),
  service: z.string().nullish(),
  started: z.number(),
  finished: z.number().nullish(),
  cancelled: z.boolean().nullish(),
  prefillTokens: z.number().nullish(),
  cachedTokens: z.number().nullish(),
  outputTokens: z.number().nullish(),
});

/** A run of a request on a backend server. */
export interface RunRecord {
  /** URL of the backend server. */
  readonly backendServer: string;
  readonly requestId: string;
  readonly service: string;
  /** Wall-clock time of the run's start, in milliseconds. */
  readonly startedWallMs: number;
  readonly isFinished: boolean;
  readonly isCancelled: boolean;
  /** Number of prompt tokens that were computed. */
  readonly prefillTokens: number;
  /** Number of prompt tokens that were found in the cache. */
  readonly cachedTokens: number;
  readonly outputTokens: number;
}

/**
 * Reads the recorded runs of backend servers.
 *
 * @param urls - base URLs of the backend servers
 * @returns the runs of all backend servers
 * @throws Error when any can't be read, as a comparison with partial records misses duplicate runs
 */
export async function readRunRecords(urls: readonly string[]): Promise<readonly RunRecord[]> {
  const lists = await Promise.all(urls.map(readServerRecords));
  return lists.flat();
}

/**
 * Parses the run records of one backend server.
 *
 * @param backendServer - URL of the backend server
 * @param value - decoded JSON of the records
 * @returns the runs
 */
export function parseRunRecords(backendServer: string, value: unknown): readonly RunRecord[] {
  return z
    .array(recordSchema)
    .parse(value)
    .map((record) => ({
      backendServer,
      requestId: record.requestId ?? '',
      service: record.service ?? '',
      startedWallMs: record.started,
      isFinished: typeof record.finished === 'number',
      isCancelled: record.cancelled === true,
      prefillTokens: record.prefillTokens ?? 0,
      cachedTokens: record.cachedTokens ?? 0,
      outputTokens: record.outputTokens ?? 0,
    }));
}

async function readServerRecords(url: string): Promise<readonly RunRecord[]> {
  const response = await fetch(`${url}/_standin/runs`);
  if (!response.ok) throw new Error(`Cannot read the runs of ${url}: status ${response.status}`);
  return parseRunRecords(url, await response.json());
}
