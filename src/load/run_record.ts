/**
 * Runs as backend servers recorded them, in the stand-ins' form.
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

/** One run that a backend server started. */
export interface RunRecord {
  /** Which backend server, by its URL. */
  readonly backendServer: string;
  readonly requestId: string;
  readonly service: string;
  /** Wall-clock time of its start, in milliseconds. */
  readonly startedWallMs: number;
  readonly isFinished: boolean;
  readonly isCancelled: boolean;
  /** Prompt tokens that were computed. */
  readonly prefillTokens: number;
  /** Prompt tokens that the cache held. */
  readonly cachedTokens: number;
  readonly outputTokens: number;
}

/**
 * Reads the recorded runs of backend servers.
 *
 * @param urls - their base URLs
 * @returns all runs
 * @throws Error when one can't be read: a comparison with a part of the runs would miss doubles
 */
export async function readRunRecords(urls: readonly string[]): Promise<readonly RunRecord[]> {
  const lists = await Promise.all(urls.map(readServerRecords));
  return lists.flat();
}

/**
 * Checks one backend server's list.
 *
 * @param backendServer - whose list it is
 * @param value - the decoded list
 * @returns its runs
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
