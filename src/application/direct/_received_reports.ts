/**
 * Keeps the newest report of each peer that reports to this entry host.
 *
 * @module
 */
import { ReportScope, PEER_TIMEOUT_MS } from '../../domain/overlay/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type { HostReportMessage } from '../../ports/mod.js';

/**
 * Age of the newest report from which a peer counts as unreachable for shared limits, in
 * milliseconds: three report intervals. Until then, both sides of a partition may spend the
 * whole limit.
 */
export const LIMIT_PEER_TIMEOUT_MS = 450;

/** A peer's newest report and when it arrived. */
export interface ReceivedReport {
  readonly identity: EntryHostIdentity;
  readonly report: HostReportMessage;
  readonly receivedAtMs: number;
}

/** Which received reports form this entry host's view of the fleet. */
export interface ViewOrigin {
  /** Whether this entry host is a relay. */
  readonly isRelay: boolean;
  /** Incarnation of the relay that this entry host is a member of. */
  readonly relayIncarnation: string | undefined;
}

/** Stores reports and determines which of them count. */
export class ReceivedReports {
  readonly #byIncarnation = new Map<string, ReceivedReport>();

  /**
   * Stores a peer's newest report, in place of any report of the same host's former process.
   *
   * @param received - the report
   */
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

  /**
   * Drops peers that have been silent for too long.
   *
   * @param nowMs - monotonic time in milliseconds
   */
  dropSilent(nowMs: number): void {
    this.#byIncarnation.forEach(({ receivedAtMs }, incarnation) => {
      if (nowMs - receivedAtMs > PEER_TIMEOUT_MS) this.#byIncarnation.delete(incarnation);
    });
  }

  /** @param scope - a report scope. @returns the newest reports that have this scope */
  listByScope(scope: ReportScope): ReceivedReport[] {
    return [...this.#byIncarnation.values()].filter(({ report }) => report.scope === scope);
  }

  /** @param origin - which reports form the view. @returns the reports that count */
  listCounted(origin: ViewOrigin): ReceivedReport[] {
    return [...this.#byIncarnation.values()].filter((source) => isCounted(source, origin));
  }

  /**
   * Counts the reachable entry hosts.
   *
   * @param origin - which reports form the view
   * @param nowMs - monotonic time in milliseconds
   * @returns number of reachable entry hosts without this one
   */
  countReachable(origin: ViewOrigin, nowMs: number): number {
    return this.listCounted(origin)
      .filter(({ receivedAtMs }) => nowMs - receivedAtMs <= LIMIT_PEER_TIMEOUT_MS)
      .reduce((sum, { report }) => sum + report.hostCount, 0);
  }
}

/**
 * Returns whether a report counts. The counted reports cover each other entry host exactly once:
 * a relay adds up the reports of its members and of the other relays, while a member has one
 * report of the whole fleet from its relay, and reports from other peers would count their hosts
 * twice.
 *
 * @param received - a peer's report
 * @param origin - which reports form the view
 * @returns whether it counts
 */
export function isCounted(
  { identity, report }: ReceivedReport,
  { isRelay, relayIncarnation }: ViewOrigin,
): boolean {
  if (isRelay) return report.scope !== ReportScope.Fleet;
  return report.scope === ReportScope.Fleet && identity.incarnation === relayIncarnation;
}
