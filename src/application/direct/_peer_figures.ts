/**
 * What peers report of backend servers, and its sums.
 *
 * @module
 */
import type { HostReportMessage, WaitingNoticeMessage } from '../../ports/mod.js';

/** What a peer reports of backend servers. */
export type PeerFigures = Pick<
  HostReportMessage,
  'inFlight' | 'waitingCalls' | 'firstWaiting' | 'avoidedBy' | 'endedServers'
>;

/** Figures that are added up. */
export type FigureKind = 'avoidedBy' | 'inFlight' | 'waitingCalls';

type Counts = Readonly<Record<string, number>>;

/** A peer whose call goes before those of all others. */
export interface FirstWaiting {
  /** Incarnation of the peer's process. */
  readonly source: string;
  /** 0 is the most urgent. */
  readonly urgency: number;
}

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

  /**
   * Lists how urgent the first waiting calls are.
   *
   * @param sources - peers' processes that are counted
   * @param own - urgency of the first that waits here, by service
   * @returns urgency by service
   */
  listFirstWaiting(sources: readonly string[], own: Counts): Record<string, number> {
    const first = { ...own };
    sources.forEach((source) => {
      Object.entries(this.#figures.get(source)?.firstWaiting ?? {}).forEach(([id, urgency]) => {
        first[id] = Math.min(first[id] ?? Infinity, urgency);
      });
    });
    return first;
  }

  /**
   * Finds the peer with the most urgent waiting call.
   *
   * @param serviceId - which service it waits for
   * @param excluded - incarnation of a peer that is left out
   * @returns the peer; undefined when nobody waits
   */
  findFirstWaiting(serviceId: string, excluded?: string): FirstWaiting | undefined {
    let first: FirstWaiting | undefined;
    this.#figures.forEach(({ firstWaiting, waitingCalls }, source) => {
      const urgency = firstWaiting[serviceId];
      const isWaiting = (waitingCalls[serviceId] ?? 0) > 0 && source !== excluded;
      if (urgency === undefined || !isWaiting) return;
      if (!first || urgency < first.urgency) first = { source, urgency };
    });
    return first;
  }

  /**
   * Takes note, until a peer's next report, that it has taken a slot or given one back.
   *
   * @param source - incarnation of the peer's process
   * @param serverId - life of the backend server
   * @param change - slots that it has taken
   */
  adjust(source: string, serverId: string, change: number): void {
    this.#change(source, ({ inFlight }) => {
      const slots = Math.max(0, (inFlight[serverId] ?? 0) + change);
      return { inFlight: { ...inFlight, [serverId]: slots } };
    });
  }

  /**
   * Takes in what a peer has told of its waiting calls between two reports.
   *
   * @param source - incarnation of the peer's process
   * @param notice - what it told
   */
  applyNotice(source: string, { serviceId, calls, firstUrgency }: WaitingNoticeMessage): void {
    this.#change(source, ({ waitingCalls, firstWaiting }) => ({
      waitingCalls: { ...waitingCalls, [serviceId]: calls },
      firstWaiting: { ...firstWaiting, [serviceId]: firstUrgency },
    }));
  }

  /**
   * Takes note, until a peer's next report, that one of its calls waits no more.
   *
   * @param source - incarnation of the peer's process
   * @param serviceId - service that it waited for
   */
  noteServed(source: string, serviceId: string): void {
    this.#change(source, ({ waitingCalls }) => {
      const left = Math.max(0, (waitingCalls[serviceId] ?? 0) - 1);
      return { waitingCalls: { ...waitingCalls, [serviceId]: left } };
    });
  }

  /** What a peer has reported stays as it came; a changed copy takes its place. */
  #change(source: string, build: (figures: PeerFigures) => Partial<PeerFigures>): void {
    const figures = this.#figures.get(source);
    if (figures) this.#figures.set(source, { ...figures, ...build(figures) });
  }
}
