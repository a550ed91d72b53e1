/**
 * Determines whether this entry host is a relay, and which stats it reports to which peer.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { pickRelays, ReportScope } from '../../domain/overlay/mod.js';
import type { HostState, Roster } from '../../domain/overlay/mod.js';
import { RelaySelector } from './_relay_selector.js';
import type { RelaySelectionInputs } from './_relay_selector.js';
import type { ViewOrigin, ReceivedReport, ReceivedReports } from './_received_reports.js';

/** Inputs of a {@link ReportRole}. */
export interface ReportRoleOptions {
  readonly roster: Roster;
  readonly received: ReceivedReports;
}

/** Keeps the relay plan up to date as entry hosts join and leave. */
export class ReportRole {
  readonly #roster: Roster;

  readonly #received: ReceivedReports;

  readonly #relaySelector = new RelaySelector();

  /** IDs of the relays in the present plan. */
  #relayIds: ReadonlySet<string> = new Set();

  #plannedRevision = 0;

  /** States of the planned relays. */
  #relayStates: readonly HostState[] = [];

  /** States of the peers that this entry host links to while it is a relay. */
  #relayLinkTargets: readonly HostState[] = [];

  /** @param options - roster and received reports */
  constructor({ roster, received }: ReportRoleOptions) {
    this.#roster = roster;
    this.#received = received;
  }

  /** Whether this entry host is a relay, which forwards reports. */
  get isRelay(): boolean {
    return this.#relayIds.has(this.#roster.self.identity.id);
  }

  /** ID of the relay that this entry host is a member of; undefined for a relay. */
  get relayId(): string | undefined {
    return this.isRelay ? undefined : this.#relaySelector.id;
  }

  /** Number of relays in the plan. */
  get relayCount(): number {
    return this.#relayIds.size;
  }

  /** Which reports form this entry host's view of the fleet. */
  get origin(): ViewOrigin {
    const relay = this.relayId === undefined ? undefined : this.#roster.find(this.relayId);
    return { isRelay: this.isRelay, relayIncarnation: relay?.identity.incarnation };
  }

  /** @param id - an entry host's ID. @returns whether it is a relay in the present plan */
  isPlannedRelay(id: string): boolean {
    return this.#relayIds.has(id);
  }

  /** @param incarnation - a peer's process. @returns whether it is a member of this relay */
  hasMember(incarnation: string): boolean {
    return this.isRelay && this.#received.find(incarnation)?.report.scope === ReportScope.Member;
  }

  /**
   * Updates the relay plan, and on a member the selected relay.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns whether the role or the relay has changed
   */
  update(nowMs: number): boolean {
    const previousRelayId = this.relayId;
    const wasRelay = this.isRelay;
    if (this.#roster.revision !== this.#plannedRevision) this.#updatePlan();
    if (!this.isRelay) this.#relaySelector.update(this.#buildSelectionInputs(nowMs));
    return wasRelay !== this.isRelay || previousRelayId !== this.relayId;
  }

  /** @param received - a peer's report that has just arrived */
  recordReport({ identity, report, receivedAtMs }: ReceivedReport): void {
    const isFromOwnRelay = report.scope === ReportScope.Fleet && identity.id === this.relayId;
    if (!isFromOwnRelay) return;
    const knownCount = this.#roster.size;
    this.#relaySelector.recordFleetReport(report.hostCount, { knownCount, nowMs: receivedAtMs });
  }

  /**
   * Lists the peers to keep links to. A member links to its relay. A relay also links to the
   * known peers that would be relays if every known entry host were heard from, so that the two
   * sides of a partition find each other again.
   *
   * @returns the peers
   */
  listLinkTargets(): readonly HostState[] {
    if (this.isRelay) return this.#relayLinkTargets;
    return this.#relayStates.filter(({ identity }) => identity.id === this.relayId);
  }

  /**
   * Picks the scope of this entry host's reports to a peer.
   *
   * @param peer - a linked peer
   * @returns the scope; undefined when the peer gets no report
   */
  pickScope(peer: EntryHostIdentity): ReportScope | undefined {
    if (this.hasMember(peer.incarnation)) return ReportScope.Fleet;
    if (!this.isRelay && peer.id === this.relayId) return ReportScope.Member;
    const isRelay = this.#relayIds.has(peer.id);
    const isUnknown = !this.#roster.isHeard(peer.id);
    const isBetweenRelays = this.isRelay && isRelay;
    return isBetweenRelays || isUnknown || this.#mustAnswer(peer) ? ReportScope.Group : undefined;
  }

  /**
   * Returns whether a group report from a peer needs an answer.
   *
   * An unknown peer's request has the same form as an answer to it. Two members that met at a
   * seed would answer each other's answers forever, so a request counts as answered once the
   * peer has received a report from this process. Relays, and entry hosts that take themselves
   * for one, need the stats of each round.
   */
  #mustAnswer({ id, incarnation }: EntryHostIdentity): boolean {
    const request = this.#received.find(incarnation)?.report;
    if (request?.scope !== ReportScope.Group) return false;
    // The member's own relay answers other relays; with another answer the member would count
    // twice.
    if (!this.isRelay && this.#relayIds.has(id)) return false;
    return request.hostCount > 0 || request.heardSequence === 0;
  }

  /**
   * Lists the relays that each report to an unknown peer names. The first report may date from a
   * moment when this process knew almost no entry hosts, and later reports contain only changes
   * among members. Without this list, two of sixty entry hosts stayed separated forever, each of
   * them a relay by its own view.
   *
   * @param peer - receiver of the report
   * @param mustName - whether the receiver hears other hosts than this one
   * @returns states of the relays; none for a planned relay that hears the same hosts
   */
  listRelaysFor({ id }: EntryHostIdentity, mustName: boolean): readonly HostState[] {
    if (!this.#relayIds.has(id)) return this.#relayStates;
    if (!mustName) return [];
    // Hosts that are only announced may be gone, and would be announced for good.
    return this.#relayStates.filter((state) => this.#roster.isHeard(state.identity.id));
  }

  /**
   * Lists the received reports whose stats are added to this entry host's own.
   *
   * @param scope - scope of the report to be built
   * @param receiver - incarnation of the report's receiver
   * @returns the reports
   */
  listAddedReports(scope: ReportScope, receiver: string): ReceivedReport[] {
    if (scope === ReportScope.Member || !this.isRelay) return [];
    if (scope === ReportScope.Group) return this.#received.listByScope(ReportScope.Member);
    return this.#received
      .listCounted(this.origin)
      .filter(({ identity }) => identity.incarnation !== receiver);
  }

  #updatePlan(): void {
    const { self, revision } = this.#roster;
    this.#plannedRevision = revision;
    const pickRelayIds = (hosts: readonly HostState[]): ReadonlySet<string> =>
      pickRelays([self, ...hosts].filter(({ isLeaving }) => !isLeaving));
    this.#relayIds = pickRelayIds(this.#roster.listPresumedLive());
    const potentialRelayIds = pickRelayIds(this.#roster.listKnown());
    this.#relayStates = this.#roster
      .listPresumedLive()
      .filter(({ identity }) => this.#relayIds.has(identity.id));
    this.#relayLinkTargets = this.#roster
      .listKnown()
      .filter(({ isLeaving }) => !isLeaving)
      .filter(({ identity: { id } }) => this.#relayIds.has(id) || potentialRelayIds.has(id));
  }

  #buildSelectionInputs(nowMs: number): RelaySelectionInputs {
    return {
      self: this.#roster.self,
      relays: this.#relayStates,
      knownCount: this.#roster.size,
      nowMs,
    };
  }
}
