/**
 * Checks the status responses of entry hosts and formats them for `monsoonhall status`.
 *
 * @module
 */
import * as z from 'zod';
import { formatTable } from './_table.js';
import type { TableRow } from './_table.js';

const HASH_LENGTH = 12;

/** Time since a peer was last heard, which differs between any two responses. */
const VOLATILE_FIELD = 'silentMs';

const rowSchema = z.record(z.string(), z.unknown());
const rowsSchema = z.union([z.array(rowSchema), rowSchema]);

/** Schema of an entry host's `/v1/status` response. Unknown row fields are printed unchanged. */
export const statusSchema = z.object({
  health: rowSchema,
  readiness: z.object({ ready: z.boolean(), reasons: z.array(z.string()) }),
  configuration: z.looseObject({
    revision: z.number(),
    hash: z.string(),
    platformIndex: z.number().optional(),
    platformSilentMs: z.number().optional(),
    accountCount: z.number().optional(),
    rejected: z.array(
      z.object({ key: z.string(), revision: z.number(), reasons: z.array(z.string()) }),
    ),
  }),
  /** State of the store that was reached; absent if the host follows none. */
  store: rowsSchema.optional(),
  entryHosts: rowsSchema,
  backendServers: rowsSchema,
  queues: rowsSchema,
  refusals: rowsSchema,
});

/** Checked `/v1/status` response of an entry host. */
export type EntryHostStatus = z.infer<typeof statusSchema>;

/** Status of the entry host behind one administration URL, or the reason why it is missing. */
export interface StatusResult {
  readonly adminUrl: string;
  readonly status?: EntryHostStatus;
  /** Reason why the status could not be read. */
  readonly error?: string;
}

type Section = z.infer<typeof rowsSchema>;

function isRecord(value: unknown): value is TableRow {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function formatItem(listItem: unknown): string {
  if (!isRecord(listItem)) return String(listItem);
  return String(listItem.id ?? JSON.stringify(listItem));
}

/** Flattens nested objects, so that each of their fields gets a column. */
function toFlatRow(row: TableRow): TableRow {
  return Object.fromEntries(
    Object.entries(row).flatMap(([name, value]): [string, unknown][] => {
      if (isRecord(value)) return Object.entries(toFlatRow(value));
      return [[name, Array.isArray(value) ? value.map(formatItem).join(' ') : value]];
    }),
  );
}

/** Converts a section to rows: one row per list item, or one row per entry of a record. */
function toRows(section: Section): readonly TableRow[] {
  if (Array.isArray(section)) return section.map(toFlatRow);
  return Object.entries(section).map(([name, value]) =>
    isRecord(value) ? { name, ...toFlatRow(value) } : { name, value },
  );
}

function getEntryHostName({ adminUrl, status }: StatusResult): string {
  return String(status?.health.id ?? adminUrl);
}

/** Removes the field whose value changes all the time and so indicates no disagreement. */
function omitVolatileField(row: TableRow): TableRow {
  return Object.fromEntries(Object.entries(row).filter(([name]) => name !== VOLATILE_FIELD));
}

/** Merges equal rows of several entry hosts, so that rows on which they disagree stand out. */
function mergeRows(
  results: readonly StatusResult[],
  selectSection: (status: EntryHostStatus) => Section,
): readonly TableRow[] {
  const responders = results.filter(({ status }) => status);
  const mergedByKey = new Map<string, { row: TableRow; toldBy: string[] }>();
  responders.forEach((result) => {
    if (!result.status) return;
    toRows(selectSection(result.status)).forEach((fullRow) => {
      const row = responders.length > 1 ? omitVolatileField(fullRow) : fullRow;
      const key = JSON.stringify(row);
      const entry = mergedByKey.get(key) ?? { row, toldBy: [] };
      entry.toldBy.push(getEntryHostName(result));
      mergedByKey.set(key, entry);
    });
  });
  if (responders.length < 2) return [...mergedByKey.values()].map(({ row }) => row);
  return [...mergedByKey.values()].map(({ row, toldBy }) => ({
    ...row,
    toldBy: toldBy.length === responders.length ? 'all' : toldBy.join(' '),
  }));
}

function toOverviewRow(result: StatusResult): TableRow {
  const { adminUrl, status, error } = result;
  if (!status) return { entryHost: adminUrl, ready: 'unreachable', reasons: error };
  const { readiness, configuration } = status;
  return {
    entryHost: getEntryHostName(result),
    ready: readiness.ready ? 'yes' : 'no',
    revision: configuration.revision,
    hash: configuration.hash.slice(0, HASH_LENGTH),
    platformIndex: configuration.platformIndex,
    platformSilentMs: configuration.platformSilentMs,
    accounts: configuration.accountCount,
    rejected: configuration.rejected.length,
    reasons: readiness.reasons.join('; '),
  };
}

function formatDisagreement(results: readonly StatusResult[]): string {
  const hashes = new Set(results.flatMap(({ status }) => status?.configuration.hash ?? []));
  if (hashes.size < 2) return '';
  return `\nThe entry hosts have ${hashes.size} different configurations in force.\n`;
}

function listRejectedDocuments({ configuration }: EntryHostStatus): Section {
  return configuration.rejected.map(({ key, revision, reasons }) => ({
    document: key,
    revision,
    reasons: reasons.join('; '),
  }));
}

/**
 * Formats the status of entry hosts as text.
 *
 * @param results - one result for each administration URL
 * @returns an overview and a table for each section; equal rows of several hosts appear once
 */
export function formatStatus(results: readonly StatusResult[]): string {
  const overview = formatTable(results.map(toOverviewRow)) + formatDisagreement(results);
  if (!results.some(({ status }) => status)) return overview;
  const formatSection = (
    title: string,
    selectSection: (status: EntryHostStatus) => Section,
  ): string => {
    const rows = mergeRows(results, selectSection);
    return `\n${title}\n${rows.length === 0 ? 'none\n' : formatTable(rows)}`;
  };
  const hasStore = results.some(({ status }) => status?.store);
  return [
    overview,
    hasStore ? formatSection('Store', ({ store }) => store ?? []) : '',
    formatSection('Rejected documents', listRejectedDocuments),
    formatSection('Entry hosts', ({ entryHosts }) => entryHosts),
    formatSection('Backend servers', ({ backendServers }) => backendServers),
    formatSection('Queues', ({ queues }) => queues),
    formatSection('Refusals', ({ refusals }) => refusals),
  ].join('');
}
