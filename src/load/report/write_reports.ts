/**
 * Writes load reports to files.
 *
 * @module
 */
import { writeFile } from 'node:fs/promises';
import type { LoadReport } from '../load_report.js';
import { formatHtml } from './html_report.js';

/** Target files of the reports; a format without a file is not written. */
export interface WriteReportsOptions {
  readonly title: string;
  readonly jsonFile?: string;
  readonly htmlFile?: string;
  /** Settings of the load runs, included in the JSON file. */
  readonly settings?: unknown;
}

/**
 * Writes reports as JSON and HTML.
 *
 * @param reports - the reports of load runs
 * @param options - title, files and settings
 * @returns when the files are written
 */
export async function writeReports(
  reports: readonly LoadReport[],
  options: WriteReportsOptions,
): Promise<void> {
  const { title, settings } = options;
  if (options.jsonFile !== undefined) {
    const text = JSON.stringify({ title, settings, reports }, undefined, 2);
    await writeFile(options.jsonFile, `${text}\n`);
  }
  if (options.htmlFile !== undefined) {
    await writeFile(options.htmlFile, formatHtml(reports, { title }));
  }
}
