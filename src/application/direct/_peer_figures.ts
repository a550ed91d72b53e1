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

const FIGURE_KINDS = ['avoidedBy', 'inFlight', 'waitingCalls'] as const;

/** Figures that are added up. */
export type FigureKind = (typeof FIGURE_KINDS)[number];

type Counts = Readonly<Record<string, number>>;

/** A peer whose call goes before those of all others. */
export interface FirstWaiting {
  /** Incarnation of the peer's process. */
  readonly source: string;
  /** 0 is the most urgent. */
  readonly urgency: number;
}

/**
 * Keeps the newest figures of each peer's process, and their sums.
 *
 * A relay of 195 entry hosts hears some 170 reports a second with sums of 60 backend servers
 * each. Sums are kept up with each report, as adding all reports up anew for each one was
 * most of a relay's work.
 */
export class PeerFigureTable {
  readonly #figures = new Map<string, PeerFigures>();

  readonly #totals: Readonly<Record<FigureKind, Map<string, number>>> = {
    avoidedBy: new Map(),
    inFlight: new Map(),
    waitingCalls: new Map(),
  };

  /**
   * @param source - incarnation of the peer's process
   * @param figures - what it reports; undefined when it is gone
   */
  put(source: string, figures: PeerFigures | undefined): void {
    const former = this.#figures.get(source);
    if (figures) this.#figures.set(source, figures);
    else this.#figures.delete(source);
    FIGURE_KINDS.forEach((kind) => {
      const totals = this.#totals[kind];
      if (former) addCounts(totals, former[kind], -1);
      if (figures) addCounts(totals, figures[kind], 1);
    });
  }

  /**
   * @param kind - which figure
   * @param id - of a backend server, or a service
   * @returns its sum over all peers
   */
  getTotal(kind: FigureKind, id: string): number {
    return this.#totals[kind].get(id) ?? 0;
  }

  /**
   * Adds up what peers report.
   *
   * @param kind - which figures
   * @param own - counts of this entry host, which are added
   * @param sources - peers' processes
   * @returns the counts
   */
  sum(kind: FigureKind, own: Counts, sources: readonly string[]): Record<string, number> {
    const sums = new Map(Object.entries(own));
    const isMost = sources.length * 2 > this.#figures.size;
    if (isMost) this.#addAllBut(sums, kind, sources);
    else sources.forEach((source) => addCounts(sums, this.#figures.get(source)?.[kind] ?? {}, 1));
    return Object.fromEntries(sums);
  }

  /** What few leave out is taken off the sums of all. */
  #addAllBut(sums: Map<string, number>, kind: FigureKind, sources: readonly string[]): void {
    this.#totals[kind].forEach((count, id) => addCount(sums, id, count));
    const included = new Set(sources);
    this.#figures.forEach((figures, source) => {
      if (!included.has(source)) addCounts(sums, figures[kind], -1);
    });
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
    if (figures) this.put(source, { ...figures, ...build(figures) });
  }
}

function addCount(sums: Map<string, number>, id: string, count: number): void {
  const sum = (sums.get(id) ?? 0) + count;
  if (sum === 0) sums.delete(id);
  else sums.set(id, sum);
}

function addCounts(sums: Map<string, number>, counts: Counts, factor: 1 | -1): void {
  Object.entries(counts).forEach(([id, count]) => addCount(sums, id, count * factor));
}
