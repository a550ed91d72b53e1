/**
 * Writes reports to files.
 *
 * @module
 */
import { writeFile } from 'node:fs/promises';
import type { LoadReport } from '../load_report.js';
import { formatHtml } from './html_report.js';

/** Where to write; an absent file is not written. */
export interface WriteReportsOptions {
  readonly title: string;
  readonly jsonFile?: string;
  readonly htmlFile?: string;
  /** Settings to be kept beside the figures. */
  readonly settings?: unknown;
}

/**
 * Writes reports as JSON and as HTML.
 *
 * @param reports - the figures
 * @param options - where to write
 * @returns when the files are there
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
