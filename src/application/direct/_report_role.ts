/**
 * Whether this entry host passes reports on, and what it tells whom.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { pickRelays, ReportScope } from '../../domain/overlay/mod.js';
import type { HostState, Roster } from '../../domain/overlay/mod.js';
import { RelaySelector } from './_relay_choice.js';
import type { RelaySelectionInputs } from './_relay_choice.js';
import type { ViewOrigin, ReceivedReport, ReceivedReports } from './_report_sources.js';

/** What a role follows from. */
export interface ReportRoleOptions {
  readonly roster: Roster;
  readonly received: ReceivedReports;
}

/** Follows the plan of relays as entry hosts come and go. */
export class ReportRole {
  readonly #roster: Roster;

  readonly #received: ReceivedReports;

  readonly #relaySelector = new RelaySelector();

  /** Names of the relays by the present plan. */
  #relayIds: ReadonlySet<string> = new Set();

  #plannedRevision = 0;

  /** States of the relays by the plan, and of those that links are kept to by a relay. */
  #relayStates: readonly HostState[] = [];

  #relayLinkTargets: readonly HostState[] = [];

  /** @param options - what the role follows from */
  constructor({ roster, received }: ReportRoleOptions) {
    this.#roster = roster;
    this.#received = received;
  }

  /** Whether this entry host passes reports on. */
  get isRelay(): boolean {
    return this.#relayIds.has(this.#roster.self.identity.id);
  }

  /** Name of the relay that it is a member of; undefined for a relay. */
  get relayId(): string | undefined {
    return this.isRelay ? undefined : this.#relaySelector.id;
  }

  /** How many relays there are by the plan. */
  get relayCount(): number {
    return this.#relayIds.size;
  }

  /** Where its picture of all others comes from. */
  get origin(): ViewOrigin {
    const relay = this.relayId === undefined ? undefined : this.#roster.find(this.relayId);
    return { isRelay: this.isRelay, relayIncarnation: relay?.identity.incarnation };
  }

  /** @param id - an entry host's name. @returns whether it passes reports on, by the plan */
  isPlannedRelay(id: string): boolean {
    return this.#relayIds.has(id);
  }

  /** @param incarnation - a peer's process. @returns whether it is a member of this relay */
  hasMember(incarnation: string): boolean {
    return this.isRelay && this.#received.find(incarnation)?.report.scope === ReportScope.Member;
  }

  /** @param nowMs - monotonic time. @returns whether the role or the relay is another one now */
  update(nowMs: number): boolean {
    const previousRelayId = this.relayId;
    const wasRelay = this.isRelay;
    if (this.#roster.revision !== this.#plannedRevision) this.#updatePlan();
    if (!this.isRelay) this.#relaySelector.update(this.#buildSelectionInputs(nowMs));
    return wasRelay !== this.isRelay || previousRelayId !== this.relayId;
  }

  /** @param source - a peer's report that was just heard */
  noteReport({ identity, report, receivedAtMs }: ReceivedReport): void {
    const isFromOwnRelay = report.scope === ReportScope.Fleet && identity.id === this.relayId;
    if (!isFromOwnRelay) return;
    const knownCount = this.#roster.size;
    this.#relaySelector.noteFleetReport(report.hostCount, { knownCount, nowMs: receivedAtMs });
  }

  /**
   * Lists whom links are kept to. A relay looks for all that would be relays if they
   * were heard, so that two sides of a cut find each other again; a member keeps to its
   * relay.
   *
   * @returns the peers
   */
  listLinkTargets(): readonly HostState[] {
    if (this.isRelay) return this.#relayLinkTargets;
    return this.#relayStates.filter(({ identity }) => identity.id === this.relayId);
  }

  /** @param peer - a linked peer. @returns whose figures it is to be told; undefined: nothing */
  pickScope(peer: EntryHostIdentity): ReportScope | undefined {
    if (this.hasMember(peer.incarnation)) return ReportScope.Fleet;
    if (!this.isRelay && peer.id === this.relayId) return ReportScope.Member;
    const isRelay = this.#relayIds.has(peer.id);
    const isUnknown = !this.#roster.isHeard(peer.id);
    const isBetweenRelays = this.isRelay && isRelay;
    return isBetweenRelays || isUnknown || this.#mustAnswer(peer) ? ReportScope.Group : undefined;
  }

  /**
   * A stranger's question is a report like its answer. Two members that met at a seed would
   * answer each other's answers for good, so a question counts as answered once the asker
   * has heard this process. Relays, and who takes itself for one, need the figures of each
   * round.
   */
  #mustAnswer({ id, incarnation }: EntryHostIdentity): boolean {
    const request = this.#received.find(incarnation)?.report;
    if (request?.scope !== ReportScope.Group) return false;
    // A member leaves it to its own relay to answer other relays, or it would count twice.
    if (!this.isRelay && this.#relayIds.has(id)) return false;
    return request.hostCount > 0 || request.heardSequence === 0;
  }

  /**
   * Lists the relays that a stranger is told of with each report. What it was told first
   * may date from a moment when this process knew hardly anybody, and later reports name
   * only what has changed among members: two entry hosts of sixty stayed apart for good,
   * each a relay by what it knew.
   *
   * @param peer - who is told
   * @returns the relays' states; none for a relay of the plan, which links to all others
   */
  listRelaysFor({ id }: EntryHostIdentity): readonly HostState[] {
    return this.#relayIds.has(id) ? [] : this.#relayStates;
  }

  /**
   * Lists the reports whose figures are added to this entry host's own.
   *
   * @param scope - what is told
   * @param receiver - incarnation of whom it is told to
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
    this.#relayIds = pickRelayIds(this.#roster.listPresumed());
    const potentialRelayIds = pickRelayIds(this.#roster.listKnown());
    this.#relayStates = this.#roster
      .listPresumed()
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
