/**
 * Formats load reports as one self-contained HTML page without scripts.
 *
 * @module
 */
import type { LoadReport } from '../load_report.js';
import type { TierSummary } from '../tally.js';
import { formatBars, escapeMarkup, formatLines, TIER_COLOURS } from './_svg.js';
import type { PlotBar } from './_svg.js';
import { formatText } from './text_report.js';

const PERCENT = 100;

const STYLE =
  'body{font:14px/1.4 system-ui,sans-serif;margin:2em;max-width:60em;color:#222}' +
  'pre{font:12px/1.35 ui-monospace,monospace;overflow-x:auto;background:#f6f6f6;padding:1em}' +
  'h2{margin-top:2em}';

/** Options of {@link formatHtml}. */
export interface HtmlReportOptions {
  readonly title: string;
}

/**
 * Formats a page with a goodput chart of all reports, followed by a plot over time for each.
 *
 * @param reports - the reports of load runs
 * @param options - title of the page
 * @returns the HTML page
 */
export function formatHtml(reports: readonly LoadReport[], options: HtmlReportOptions): string {
  const title = escapeMarkup(options.title);
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>${title}</title><style>${STYLE}</style></head>`,
    `<body><h1>${title}</h1>`,
    '<p>Goodput: complete answers within their deadline. Dashed: offered.</p>',
    formatBars('Goodput by tier and case', reports.flatMap(listBars)),
    ...reports.map(formatReportSection),
    '</body></html>',
    '',
  ].join('\n');
}

function listBars(report: LoadReport): PlotBar[] {
  return report.tiers
    .filter((tier) => tier.offered > 0)
    .map((tier) => ({
      label: `${report.name} · ${tier.tier}`,
      colour: pickColour(report, tier),
      share: tier.inDeadline / tier.offered,
      text: `${((tier.inDeadline / tier.offered) * PERCENT).toFixed(1)} % of ${tier.offered}`,
    }));
}

function formatReportSection(report: LoadReport): string {
  const lines = report.tiers.flatMap((tier) => {
    const colour = pickColour(report, tier);
    return [
      {
        name: `${tier.tier} offered`,
        colour,
        values: tier.timeline.map((point) => point.offered),
        isDashed: true,
      },
      {
        name: tier.tier,
        colour,
        values: tier.timeline.map((point) => point.inDeadline),
        isDashed: false,
      },
    ];
  });
  const legend = report.tiers
    .map((tier) => `<span style="color:${pickColour(report, tier)}">■ ${tier.tier}</span>`)
    .join(' ');
  return [
    `<h2>${escapeMarkup(report.name)}</h2>`,
    `<p>Requests per second, by second of arrival. ${legend}</p>`,
    formatLines(`${report.name}: goodput by tier over time`, lines),
    `<pre>${escapeMarkup(formatText(report))}</pre>`,
  ].join('\n');
}

function pickColour(report: LoadReport, tier: TierSummary): string {
  return TIER_COLOURS[report.tiers.indexOf(tier)] ?? '#666';
}
