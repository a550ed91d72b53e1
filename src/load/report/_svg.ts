/**
 * Formats line plots and bar charts as inline SVG.
 *
 * @module
 */

const WIDTH_PX = 640;
const HEIGHT_PX = 200;
const LEFT_PX = 48;
const BOTTOM_PX = 24;
const TOP_PX = 12;
const RIGHT_PX = 12;
const TICKS = 4;
const BAR_HEIGHT_PX = 16;
const BAR_LABEL_PX = 220;

/** Colours of the tiers, highest tier first; they also differ in lightness. */
export const TIER_COLOURS: readonly string[] = ['#b2182b', '#2166ac', '#7fbf7b'];

/** One line of a line plot. */
export interface PlotLine {
  readonly name: string;
  readonly colour: string;
  readonly values: readonly number[];
  readonly isDashed: boolean;
}

/** One bar of a bar chart. */
export interface PlotBar {
  readonly label: string;
  readonly colour: string;
  /** Length of the bar as a fraction of the full width, from 0 to 1. */
  readonly share: number;
  /** Text shown on the bar. */
  readonly text: string;
}

/**
 * Formats a line plot over time.
 *
 * @param title - title of the plot
 * @param lines - lines with one value per second
 * @returns an SVG element
 */
export function formatLines(title: string, lines: readonly PlotLine[]): string {
  const length = Math.max(1, ...lines.map((line) => line.values.length - 1));
  const highest = Math.max(1, ...lines.flatMap((line) => line.values));
  const toX = (second: number): number =>
    LEFT_PX + (second / length) * (WIDTH_PX - LEFT_PX - RIGHT_PX);
  const toY = (value: number): number =>
    HEIGHT_PX - BOTTOM_PX - (value / highest) * (HEIGHT_PX - BOTTOM_PX - TOP_PX);
  const ticks = Array.from({ length: TICKS + 1 }, (_, index) => (index / TICKS) * highest);
  const grid = ticks.map(
    (value) =>
      `<line x1="${LEFT_PX}" x2="${WIDTH_PX - RIGHT_PX}" y1="${toY(value)}" y2="${toY(value)}" stroke="#ddd"/>` +
      `<text x="${LEFT_PX - 6}" y="${toY(value) + 4}" text-anchor="end">${value.toFixed(0)}</text>`,
  );
  const paths = lines.map((line) => {
    const points = line.values.map((value, second) => `${toX(second)},${toY(value)}`).join(' ');
    const dash = line.isDashed ? ' stroke-dasharray="4 3" opacity="0.6"' : '';
    return `<polyline points="${points}" fill="none" stroke="${line.colour}" stroke-width="1.5"${dash}/>`;
  });
  return formatSvg(title, HEIGHT_PX, [
    ...grid,
    `<text x="${LEFT_PX}" y="${HEIGHT_PX - 6}">0 s</text>`,
    `<text x="${WIDTH_PX - RIGHT_PX}" y="${HEIGHT_PX - 6}" text-anchor="end">${length} s</text>`,
    ...paths,
  ]);
}

/**
 * Formats a horizontal bar chart.
 *
 * @param title - title of the chart
 * @param bars - bars from top to bottom
 * @returns an SVG element
 */
export function formatBars(title: string, bars: readonly PlotBar[]): string {
  const maxBarWidthPx = WIDTH_PX - BAR_LABEL_PX - RIGHT_PX;
  const rows = bars.map((bar, index) => {
    const y = TOP_PX + index * BAR_HEIGHT_PX;
    const width = Math.max(0, Math.min(1, bar.share)) * maxBarWidthPx;
    return (
      `<text x="${BAR_LABEL_PX - 6}" y="${y + 11}" text-anchor="end">${escapeMarkup(bar.label)}</text>` +
      `<rect x="${BAR_LABEL_PX}" y="${y + 2}" width="${width.toFixed(1)}" height="${BAR_HEIGHT_PX - 4}" fill="${bar.colour}"/>` +
      `<text x="${BAR_LABEL_PX + 6}" y="${y + 11}">${escapeMarkup(bar.text)}</text>`
    );
  });
  return formatSvg(title, TOP_PX * 2 + bars.length * BAR_HEIGHT_PX, rows);
}

/**
 * Escapes text for HTML and SVG.
 *
 * @param text - any text
 * @returns the text with its markup characters escaped
 */
export function escapeMarkup(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function formatSvg(title: string, heightPx: number, parts: readonly string[]): string {
  return (
    `<svg viewBox="0 0 ${WIDTH_PX} ${heightPx}" width="${WIDTH_PX}" role="img" font-size="11">` +
    `<title>${escapeMarkup(title)}</title>${parts.join('')}</svg>`
  );
}
