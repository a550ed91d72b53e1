/**
 * Sums of figures that peers report by service and urgency.
 *
 * @module
 */

/** Figures by service ID and by urgency as text. */
export type UrgencyFigures = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** Figures below this are what rounding left of a sum. */
const MIN_FIGURE = 1e-6;

/** Least urgent value that is reported apart, which bounds reports whatever ranks exist. */
const MAX_URGENCY = 31;

/** Figures are reported with two decimals. */
const SCALE = 100;

/** Keeps the newest figures of each peer process and their sums. */
export class UrgencySums {
  readonly #figures = new Map<string, UrgencyFigures>();

  /** Sums by service ID and urgency. */
  readonly #totals = new Map<string, Map<number, number>>();

  /**
   * @param source - incarnation of a peer's process
   * @param figures - its newest figures; undefined when the process is gone
   */
  set(source: string, figures: UrgencyFigures | undefined): void {
    const previous = this.#figures.get(source);
    if (previous === figures) return;
    if (previous) addFigures(this.#totals, previous, -1);
    if (figures) addFigures(this.#totals, figures, 1);
    if (figures) this.#figures.set(source, figures);
    else this.#figures.delete(source);
  }

  /** @param serviceId - a service. @returns the sums over all peers, by urgency */
  get(serviceId: string): ReadonlyMap<number, number> {
    return this.#totals.get(serviceId) ?? new Map<number, number>();
  }

  /**
   * Adds up the figures of some peers and of this entry host.
   *
   * @param own - figures of this entry host
   * @param sources - incarnations of the peer processes to include
   * @returns the sums, as they are reported
   */
  sum(own: UrgencyFigures, sources: readonly string[]): UrgencyFigures {
    const sums = new Map<string, Map<number, number>>();
    addFigures(sums, own, 1);
    // A relay reports most of its sources to each peer; leaving out the others takes fewer steps.
    if (sources.length * 2 > this.#figures.size) this.#addTotalsOf(sums, sources);
    else sources.forEach((source) => addFigures(sums, this.#figures.get(source) ?? {}, 1));
    return Object.fromEntries([...sums].map(([id, rates]) => [id, roundFigures(rates)]));
  }

  #addTotalsOf(sums: Map<string, Map<number, number>>, sources: readonly string[]): void {
    this.#totals.forEach((totals, id) => {
      addFigures(sums, { [id]: Object.fromEntries(totals) }, 1);
    });
    const included = new Set(sources);
    this.#figures.forEach((figures, source) => {
      if (!included.has(source)) addFigures(sums, figures, -1);
    });
  }
}

/**
 * Rounds figures for a report.
 *
 * @param figures - figures of one service by urgency
 * @returns the same with two decimals, by urgency as text; without those that round to 0
 */
function roundFigures(figures: ReadonlyMap<number, number>): Record<string, number> {
  const rounded = [...figures].map(
    ([urgency, figure]) => [String(urgency), Math.round(figure * SCALE) / SCALE] as const,
  );
  return Object.fromEntries(rounded.filter(([, figure]) => figure > 0));
}

/**
 * Brings the figures of one service into the form of a report.
 *
 * @param figures - figures by urgency
 * @returns the same by urgency as text; those beyond the least urgent reported one count there
 */
export function toUrgencyFigures(figures: ReadonlyMap<number, number>): Record<string, number> {
  const byUrgency: Record<string, number> = {};
  figures.forEach((figure, urgency) => {
    const key = String(Math.min(urgency, MAX_URGENCY));
    byUrgency[key] = (byUrgency[key] ?? 0) + figure;
  });
  return byUrgency;
}

function addFigures(
  sums: Map<string, Map<number, number>>,
  figures: UrgencyFigures,
  sign: 1 | -1,
): void {
  Object.entries(figures).forEach(([id, byUrgency]) => {
    const totals = sums.get(id) ?? new Map<number, number>();
    Object.entries(byUrgency).forEach(([urgency, figure]) => {
      const sum = (totals.get(Number(urgency)) ?? 0) + sign * figure;
      if (sum >= MIN_FIGURE) totals.set(Number(urgency), sum);
      else totals.delete(Number(urgency));
    });
    if (totals.size > 0) sums.set(id, totals);
    else sums.delete(id);
  });
}
