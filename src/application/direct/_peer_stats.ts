/**
 * Stats that peers report about backend servers and services, and their sums.
 *
 * @module
 */
import type { HostReportMessage, WaitingNoticeMessage } from '../../ports/mod.js';

/** Part of a peer's report that describes backend servers and the calls that wait for them. */
export type PeerStats = Pick<
  HostReportMessage,
  | 'inFlight'
  | 'waitingCalls'
  | 'firstWaiting'
  | 'callingHosts'
  | 'avoidedBy'
  | 'endedServers'
  | 'leavingServers'
  | 'rateLimits'
  | 'refusalLimits'
  | 'hostCount'
  | 'accountUsage'
>;

const SUMMED_FIELDS = [
  'avoidedBy',
  'callingHosts',
  'inFlight',
  'waitingCalls',
  'accountUsage',
] as const;

/** Report fields that are summed over peers. */
export type SummedField = (typeof SUMMED_FIELDS)[number];

type Counts = Readonly<Record<string, number>>;

/** What {@link PeerStatsTable.sumFor} adds up. */
export interface SumParts {
  /** Counts of this entry host. */
  readonly own: Counts;
  /** Incarnations of the peer processes to include. */
  readonly sources: readonly string[];
}

/** The peer whose waiting call goes first. */
export interface FirstWaiting {
  /** Incarnation of the peer's process. */
  readonly source: string;
  /** Urgency of the call; 0 is the most urgent. */
  readonly urgency: number;
}

/**
 * Keeps the newest stats of each peer process and their sums.
 *
 * A relay of 195 entry hosts receives about 170 reports a second, each with sums for 60 backend
 * servers. The sums are therefore updated with each report: recomputing them from all reports
 * took most of a relay's processor time.
 */
export class PeerStatsTable {
  readonly #stats = new Map<string, PeerStats>();

  readonly #totals: Readonly<Record<SummedField, Map<string, number>>> = {
    avoidedBy: new Map(),
    callingHosts: new Map(),
    inFlight: new Map(),
    waitingCalls: new Map(),
    accountUsage: new Map(),
  };

  /**
   * Replaces the stats of a peer process.
   *
   * @param source - incarnation of the peer's process
   * @param stats - its newest stats; undefined when the process is gone
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
   * @param field - which field
   * @param id - ID of a backend server incarnation or of a service
   * @returns the field's sum over all peers
   */
  getTotal(field: SummedField, id: string): number {
    return this.#totals[field].get(id) ?? 0;
  }

  /**
   * Adds up a field over some peers and this entry host.
   *
   * @param field - which field
   * @param ownCounts - counts of this entry host
   * @param sources - incarnations of the peer processes to include
   * @returns the sums by ID
   */
  sum(field: SummedField, ownCounts: Counts, sources: readonly string[]): Record<string, number> {
    const sums = new Map(Object.entries(ownCounts));
    const isMajority = sources.length * 2 > this.#stats.size;
    if (isMajority) this.#addTotalsOf(sums, field, sources);
    else sources.forEach((source) => addCounts(sums, this.#stats.get(source)?.[field] ?? {}, 1));
    return Object.fromEntries(sums);
  }

  /**
   * Adds up a field for some IDs only.
   *
   * @param field - which field
   * @param ids - the IDs
   * @param parts - what is added up
   * @returns the sums by ID, without those that are 0
   */
  sumFor(
    field: SummedField,
    ids: readonly string[],
    { own, sources }: SumParts,
  ): Record<string, number> {
    const included = new Set(sources);
    const isMajority = sources.length * 2 > this.#stats.size;
    const counts = [...this.#stats]
      .filter(([source]) => included.has(source) !== isMajority)
      .map(([, stats]) => stats[field]);
    const sums = ids.map((id): [string, number] => {
      const counted = counts.reduce((sum, { [id]: count = 0 }) => sum + count, 0);
      return [id, (own[id] ?? 0) + (isMajority ? this.getTotal(field, id) - counted : counted)];
    });
    return Object.fromEntries(sums.filter(([, sum]) => sum > 0));
  }

  /** @param field - which field. @returns its sums over all peers by ID */
  listTotals(field: SummedField): ReadonlyMap<string, number> {
    return this.#totals[field];
  }

  /**
   * Adds the totals of all peers and subtracts the peers that are not in `sources`, which takes
   * fewer steps when `sources` holds most of them.
   */
  #addTotalsOf(sums: Map<string, number>, field: SummedField, sources: readonly string[]): void {
    this.#totals[field].forEach((count, id) => addCount(sums, id, count));
    const included = new Set(sources);
    this.#stats.forEach((stats, source) => {
      if (!included.has(source)) addCounts(sums, stats[field], -1);
    });
  }

  /**
   * Computes the urgency of the first waiting call of each service.
   *
   * @param sources - incarnations of the peer processes to include
   * @param ownUrgencies - urgency of the first call that waits at this entry host, by service
   * @returns the most urgent value, by service
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
   * @param serviceId - service that the call waits for
   * @param excluded - incarnation of a peer to leave out
   * @returns the peer; undefined when no call waits
   */
  findFirstWaiting(serviceId: string, excluded?: string): FirstWaiting | undefined {
    let first: FirstWaiting | undefined;
    let firstHostCount = 0;
    this.#stats.forEach(({ firstWaiting, waitingCalls, hostCount }, source) => {
      const urgency = firstWaiting[serviceId];
      const isWaiting = (waitingCalls[serviceId] ?? 0) > 0 && source !== excluded;
      if (urgency === undefined || !isWaiting) return;
      // Of equally urgent calls, one that a peer reports of itself is known most recently.
      const isCloser = urgency === first?.urgency && hostCount < firstHostCount;
      if (first && urgency >= first.urgency && !isCloser) return;
      first = { source, urgency };
      firstHostCount = hostCount;
    });
    return first;
  }

  /**
   * Draws a peer that has calls, or that reports hosts which do.
   *
   * @param serviceId - service of the calls
   * @param fraction - a random number in [0, 1)
   * @param excluded - incarnation of a peer to leave out
   * @returns the peer, drawn by its number of such hosts; undefined if there is none
   */
  drawCalled(serviceId: string, fraction: number, excluded?: string): string | undefined {
    const counts = [...this.#stats]
      .filter(([source]) => source !== excluded)
      .map(([source, { callingHosts }]) => ({ source, count: callingHosts[serviceId] ?? 0 }));
    let left = fraction * counts.reduce((sum, { count }) => sum + count, 0);
    return counts.find(({ count }) => {
      left -= count;
      return left < 0;
    })?.source;
  }

  /**
   * Counts calls that may go before one of this entry host. Peers tell the urgency of their first
   * call only, so either all calls of a peer count or none.
   *
   * @param serviceId - service that the calls wait for
   * @param urgency - urgency of the call of this entry host
   * @returns calls of the peers whose first call is at least as urgent
   */
  countCallsAhead(serviceId: string, urgency: number): number {
    let count = 0;
    this.#stats.forEach(({ firstWaiting, waitingCalls }) => {
      if ((firstWaiting[serviceId] ?? Infinity) <= urgency) count += waitingCalls[serviceId] ?? 0;
    });
    return count;
  }

  /**
   * Adjusts a peer's slot count until its next report, after it has taken or freed slots.
   *
   * @param source - incarnation of the peer's process
   * @param serverId - incarnation of the backend server
   * @param change - number of slots taken; negative for freed slots
   */
  adjustInFlight(source: string, serverId: string, change: number): void {
    this.#update(source, ({ inFlight }) => {
      const slotCount = Math.max(0, (inFlight[serverId] ?? 0) + change);
      return { inFlight: { ...inFlight, [serverId]: slotCount } };
    });
  }

  /**
   * Applies what a peer announces about its waiting calls between two reports.
   *
   * @param source - incarnation of the peer's process
   * @param notice - the announcement
   */
  applyWaitingNotice(
    source: string,
    { serviceId, calls, firstUrgency }: WaitingNoticeMessage,
  ): void {
    this.#update(source, ({ waitingCalls, firstWaiting }) => ({
      waitingCalls: { ...waitingCalls, [serviceId]: calls },
      firstWaiting: { ...firstWaiting, [serviceId]: firstUrgency },
    }));
  }

  /**
   * Counts one waiting call of a peer less until the peer's next report.
   *
   * @param source - incarnation of the peer's process
   * @param serviceId - service that the call waited for
   */
  recordCallServed(source: string, serviceId: string): void {
    this.#update(source, ({ waitingCalls }) => {
      const remaining = Math.max(0, (waitingCalls[serviceId] ?? 0) - 1);
      return { waitingCalls: { ...waitingCalls, [serviceId]: remaining } };
    });
  }

  /** Replaces a peer's stats by a changed copy; the reported object itself is never modified. */
  #update(source: string, buildChanges: (stats: PeerStats) => Partial<PeerStats>): void {
    const current = this.#stats.get(source);
    if (current) this.set(source, { ...current, ...buildChanges(current) });
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
