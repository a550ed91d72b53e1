/**
 * What peers report of backend servers, and its sums.
 *
 * @module
 */
import type { HostReportMessage } from '../../ports/mod.js';

/** What a peer reports of backend servers. */
export type PeerFigures = Pick<
  HostReportMessage,
  'inFlight' | 'waitingCalls' | 'avoidedBy' | 'endedServers'
>;

/** Figures that are added up. */
export type FigureKind = 'avoidedBy' | 'inFlight' | 'waitingCalls';

type Counts = Readonly<Record<string, number>>;

/** Keeps the newest figures of each peer's process. */
export class PeerFigureTable {
  readonly #figures = new Map<string, PeerFigures>();

  /**
   * @param source - incarnation of the peer's process
   * @param figures - what it reports; undefined when it is gone
   */
  put(source: string, figures: PeerFigures | undefined): void {
    if (figures) this.#figures.set(source, figures);
    else this.#figures.delete(source);
  }

  /**
   * Adds up what peers report.
   *
   * @param kind - which figures
   * @param own - counts of this entry host, which are added
   * @param sources - peers' processes; all of them where none are named
   * @returns the counts
   */
  sum(kind: FigureKind, own: Counts = {}, sources?: readonly string[]): Record<string, number> {
    const counts = { ...own };
    (sources ?? [...this.#figures.keys()]).forEach((source) => {
      Object.entries(this.#figures.get(source)?.[kind] ?? {}).forEach(([id, count]) => {
        counts[id] = (counts[id] ?? 0) + count;
      });
    });
    return counts;
  }
}
