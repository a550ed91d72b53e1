/**
 * What peers report of backend servers, and its sums.
 *
 * @module
 */
import type { HostReportMessage, WaitingNoticeMessage } from '../../ports/mod.js';

/** What a peer reports of backend servers. */
export type PeerStats = Pick<
  HostReportMessage,
  'inFlight' | 'waitingCalls' | 'firstWaiting' | 'avoidedBy' | 'endedServers'
>;

const SUMMED_FIELDS = ['avoidedBy', 'inFlight', 'waitingCalls'] as const;

/** Figures that are added up. */
export type SummedField = (typeof SUMMED_FIELDS)[number];

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
export class PeerStatsTable {
  readonly #stats = new Map<string, PeerStats>();

  readonly #totals: Readonly<Record<SummedField, Map<string, number>>> = {
    avoidedBy: new Map(),
    inFlight: new Map(),
    waitingCalls: new Map(),
  };

  /**
   * @param source - incarnation of the peer's process
   * @param stats - what it reports; undefined when it is gone
   */
  set(source: string, stats: PeerStats | undefined): void {
    const previous = this.#stats.get(source);
    if (stats) this.#stats.set(source, stats);
    else this.#stats.delete(source);
    SUMMED_FIELDS.forEach((field) => {
      const totals = this.#totals[field];
      if (previous) addCounts(totals, previous[field], -1);
      if (stats) addCounts(totals, stats[field], 1);
    });
  }

  /**
   * @param field - which figure
   * @param id - of a backend server, or a service
   * @returns its sum over all peers
   */
  getTotal(field: SummedField, id: string): number {
    return this.#totals[field].get(id) ?? 0;
  }

  /**
   * Adds up what peers report.
   *
   * @param field - which figures
   * @param ownCounts - counts of this entry host, which are added
   * @param sources - peers' processes
   * @returns the counts
   */
  sum(field: SummedField, ownCounts: Counts, sources: readonly string[]): Record<string, number> {
    const sums = new Map(Object.entries(ownCounts));
    const isMajority = sources.length * 2 > this.#stats.size;
    if (isMajority) this.#addTotalsOf(sums, field, sources);
    else sources.forEach((source) => addCounts(sums, this.#stats.get(source)?.[field] ?? {}, 1));
    return Object.fromEntries(sums);
  }

  /** What few leave out is taken off the sums of all. */
  #addTotalsOf(sums: Map<string, number>, field: SummedField, sources: readonly string[]): void {
    this.#totals[field].forEach((count, id) => addCount(sums, id, count));
    const included = new Set(sources);
    this.#stats.forEach((stats, source) => {
      if (!included.has(source)) addCounts(sums, stats[field], -1);
    });
  }

  /**
   * Lists how urgent the first waiting calls are.
   *
   * @param sources - peers' processes that are counted
   * @param ownUrgencies - urgency of the first that waits here, by service
   * @returns urgency by service
   */
  mergeFirstWaiting(sources: readonly string[], ownUrgencies: Counts): Record<string, number> {
    const urgencies = { ...ownUrgencies };
    sources.forEach((source) => {
      Object.entries(this.#stats.get(source)?.firstWaiting ?? {}).forEach(([id, urgency]) => {
        urgencies[id] = Math.min(urgencies[id] ?? Infinity, urgency);
      });
    });
    return urgencies;
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
    this.#stats.forEach(({ firstWaiting, waitingCalls }, source) => {
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
    this.#update(source, ({ inFlight }) => {
      const slotCount = Math.max(0, (inFlight[serverId] ?? 0) + change);
      return { inFlight: { ...inFlight, [serverId]: slotCount } };
    });
  }

  /**
   * Takes in what a peer has told of its waiting calls between two reports.
   *
   * @param source - incarnation of the peer's process
   * @param notice - what it told
   */
  applyNotice(source: string, { serviceId, calls, firstUrgency }: WaitingNoticeMessage): void {
    this.#update(source, ({ waitingCalls, firstWaiting }) => ({
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
    this.#update(source, ({ waitingCalls }) => {
      const remaining = Math.max(0, (waitingCalls[serviceId] ?? 0) - 1);
      return { waitingCalls: { ...waitingCalls, [serviceId]: remaining } };
    });
  }

  /** What a peer has reported stays as it came; a changed copy takes its place. */
  #update(source: string, buildChanges: (stats: PeerStats) => Partial<PeerStats>): void {
    const figures = this.#stats.get(source);
    if (figures) this.set(source, { ...figures, ...buildChanges(figures) });
  }
}

function addCount(totals: Map<string, number>, id: string, count: number): void {
  const sum = (totals.get(id) ?? 0) + count;
  if (sum === 0) totals.delete(id);
  else totals.set(id, sum);
}

function addCounts(totals: Map<string, number>, counts: Counts, sign: 1 | -1): void {
  Object.entries(counts).forEach(([id, count]) => addCount(totals, id, count * sign));
}
