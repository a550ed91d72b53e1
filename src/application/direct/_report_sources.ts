/**
 * The newest report of each peer that reports to this entry host.
 *
 * @module
 */
import { ReportScope, SILENT_AFTER_MS } from '../../domain/overlay/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type { HostReportMessage } from '../../ports/mod.js';

/**
 * Silence after which a peer counts as out of reach for limits that all share, in
 * milliseconds: three reports. Until then both sides of a partition spend the whole.
 */
export const REACH_SILENT_MS = 450;

/** A peer's newest report. */
export interface ReceivedReport {
  readonly identity: EntryHostIdentity;
  readonly report: HostReportMessage;
  readonly receivedAtMs: number;
}

/** Where this entry host's picture of all others comes from. */
export interface ViewOrigin {
  /** Whether it passes reports on for others. */
  readonly isRelay: boolean;
  /** Incarnation of the relay that it is a member of. */
  readonly relayIncarnation: string | undefined;
}

/** Keeps reports, and tells which of them count. */
export class ReceivedReports {
  readonly #byIncarnation = new Map<string, ReceivedReport>();

  /** @param received - a peer and its newest report; a former process of the same host counts no more */
  put(received: ReceivedReport): void {
    const { id, incarnation } = received.identity;
    if (!this.#byIncarnation.has(incarnation)) {
      [...this.#byIncarnation.values()]
        .filter(({ identity }) => identity.id === id)
        .forEach(({ identity }) => this.#byIncarnation.delete(identity.incarnation));
    }
    this.#byIncarnation.set(incarnation, received);
  }

  /** @param incarnation - a peer's process. @returns its newest report */
  find(incarnation: string): ReceivedReport | undefined {
    return this.#byIncarnation.get(incarnation);
  }

  /** Forgets peers that were silent for too long. @param nowMs - monotonic time in milliseconds */
  dropSilent(nowMs: number): void {
    this.#byIncarnation.forEach(({ receivedAtMs }, incarnation) => {
      if (nowMs - receivedAtMs > SILENT_AFTER_MS) this.#byIncarnation.delete(incarnation);
    });
  }

  /** @param scope - whose figures. @returns peers whose newest report has these */
  listByScope(scope: ReportScope): ReceivedReport[] {
    return [...this.#byIncarnation.values()].filter(({ report }) => report.scope === scope);
  }

  /** @param origin - where the picture comes from. @returns the reports that count */
  listCounted(origin: ViewOrigin): ReceivedReport[] {
    return [...this.#byIncarnation.values()].filter((source) => isCounted(source, origin));
  }

  /**
   * Counts entry hosts within reach.
   *
   * @param origin - where the picture comes from
   * @param nowMs - monotonic time in milliseconds
   * @returns how many, this one left out
   */
  countReachable(origin: ViewOrigin, nowMs: number): number {
    return this.listCounted(origin)
      .filter(({ receivedAtMs }) => nowMs - receivedAtMs <= REACH_SILENT_MS)
      .reduce((sum, { report }) => sum + report.hostCount, 0);
  }
}

/**
 * Tells whether a report counts. Those that do contain each other entry host once: a
 * relay adds its members' and the other relays' up; a member has one report of everybody
 * else from its relay, and whatever others send it would count them twice.
 *
 * @param source - a peer's report
 * @param origin - where the picture comes from
 * @returns whether it counts
 */
export function isCounted(
  { identity, report }: ReceivedReport,
  { isRelay, relayIncarnation }: ViewOrigin,
): boolean {
  if (isRelay) return report.scope !== ReportScope.Fleet;
  return report.scope === ReportScope.Fleet && identity.incarnation === relayIncarnation;
}
