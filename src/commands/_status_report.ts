/**
 * What `monsoonhall status` prints.
 *
 * @module
 */
import * as z from 'zod';
import { formatTable } from './_table.js';
import type { TableRow } from './_table.js';

const HASH_LENGTH = 12;
const VOLATILE_FIELD = 'silentMs';

const rowSchema = z.record(z.string(), z.unknown());
const rowsSchema = z.union([z.array(rowSchema), rowSchema]);

/** An entry host's `/v1/status`; what this program doesn't know is printed as it comes. */
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
  entryHosts: rowsSchema,
  backendServers: rowsSchema,
  queues: rowsSchema,
  refusals: rowsSchema,
});

/** An entry host's status. */
export type EntryHostStatus = z.infer<typeof statusSchema>;

/** What one administration URL answered. */
export interface StatusAnswer {
  readonly adminUrl: string;
  readonly status?: EntryHostStatus;
  /** Why there is no status. */
  readonly error?: string;
}

type Section = z.infer<typeof rowsSchema>;

function isRecord(value: unknown): value is TableRow {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function formatItem(item: unknown): string {
  if (!isRecord(item)) return String(item);
  return String(item.id ?? JSON.stringify(item));
}

/** Puts the fields of nested objects side by side, so that each gets a column. */
function toFlatRow(row: TableRow): TableRow {
  return Object.fromEntries(
    Object.entries(row).flatMap(([name, value]): [string, unknown][] => {
      if (isRecord(value)) return Object.entries(toFlatRow(value));
      return [[name, Array.isArray(value) ? value.map(formatItem).join(' ') : value]];
    }),
  );
}

/** A record of counts becomes two columns, a list one row an item. */
function toRows(section: Section): readonly TableRow[] {
  if (Array.isArray(section)) return section.map(toFlatRow);
  return Object.entries(section).map(([name, value]) =>
    isRecord(value) ? { name, ...toFlatRow(value) } : { name, value },
  );
}

function getName({ adminUrl, status }: StatusAnswer): string {
  return String(status?.health.id ?? adminUrl);
}

/** Leaves out what differs from one moment to the next and says nothing of a disagreement. */
function removeVolatile(row: TableRow): TableRow {
  return Object.fromEntries(Object.entries(row).filter(([name]) => name !== VOLATILE_FIELD));
}

/** Joins rows that several entry hosts tell alike, so that the ones on which they differ stand out. */
function mergeRows(
  answers: readonly StatusAnswer[],
  pick: (status: EntryHostStatus) => Section,
): readonly TableRow[] {
  const tellers = answers.filter(({ status }) => status);
  const merged = new Map<string, { row: TableRow; toldBy: string[] }>();
  tellers.forEach((answer) => {
    if (!answer.status) return;
    toRows(pick(answer.status)).forEach((full) => {
      const row = tellers.length > 1 ? removeVolatile(full) : full;
      const key = JSON.stringify(row);
      const known = merged.get(key) ?? { row, toldBy: [] };
      known.toldBy.push(getName(answer));
      merged.set(key, known);
    });
  });
  if (tellers.length < 2) return [...merged.values()].map(({ row }) => row);
  return [...merged.values()].map(({ row, toldBy }) => ({
    ...row,
    toldBy: toldBy.length === tellers.length ? 'all' : toldBy.join(' '),
  }));
}

function toOverviewRow(answer: StatusAnswer): TableRow {
  const { adminUrl, status, error } = answer;
  if (!status) return { entryHost: adminUrl, ready: 'unreachable', reasons: error };
  const { readiness, configuration } = status;
  return {
    entryHost: getName(answer),
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

function formatAgreement(answers: readonly StatusAnswer[]): string {
  const hashes = new Set(answers.flatMap(({ status }) => status?.configuration.hash ?? []));
  if (hashes.size < 2) return '';
  return `\nThe entry hosts have ${hashes.size} different configurations in force.\n`;
}

function listRejected({ configuration }: EntryHostStatus): Section {
  return configuration.rejected.map(({ key, revision, reasons }) => ({
    document: key,
    revision,
    reasons: reasons.join('; '),
  }));
}

/**
 * Formats what the entry hosts answered.
 *
 * @param answers - one an administration URL
 * @returns an overview, then what they tell, alike rows once
 */
export function formatStatus(answers: readonly StatusAnswer[]): string {
  const overview = formatTable(answers.map(toOverviewRow)) + formatAgreement(answers);
  if (!answers.some(({ status }) => status)) return overview;
  const formatSection = (title: string, pick: (status: EntryHostStatus) => Section): string => {
    const rows = mergeRows(answers, pick);
    return `\n${title}\n${rows.length === 0 ? 'none\n' : formatTable(rows)}`;
  };
  return [
    overview,
    formatSection('Rejected documents', listRejected),
    formatSection('Entry hosts', ({ entryHosts }) => entryHosts),
    formatSection('Backend servers', ({ backendServers }) => backendServers),
    formatSection('Queues', ({ queues }) => queues),
    formatSection('Refusals', ({ refusals }) => refusals),
  ].join('');
}
