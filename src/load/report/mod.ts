/**
 * Formats load reports as text tables, JSON, and one self-contained HTML page with plots:
 * `writeReports(reports, { title: 'Load', htmlFile: 'load.html' })`.
 *
 * @module
 */
export { formatHtml } from './html_report.js';
export type { HtmlReportOptions } from './html_report.js';
export { formatTable } from './format_table.js';
export { formatText } from './text_report.js';
export { writeReports } from './write_reports.js';
export type { WriteReportsOptions } from './write_reports.js';
