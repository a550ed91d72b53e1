/**
 * Sends this entry host's reports to peers, keeps theirs, and forwards them if it is a relay.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { ClockReading } from '../../domain/freshness/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { ReportScope, Roster } from '../../domain/overlay/mod.js';
import type { HostState } from '../../domain/overlay/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { HostReportMessage } from '../../ports/mod.js';
import { CountedPeers } from './_counted_peers.js';
import type { HostReportsOptions } from './host_reports_options.js';
import { PeerLinks } from './_peer_links.js';
import { PresentHosts } from './_present_hosts.js';
import { ReportBuilder } from './_report_builder.js';
import type { CountedReport } from './report_stats.js';
import { ReportRole } from './_report_role.js';
import { RosterLog } from './_roster_log.js';
import { ReportScheduler } from './_report_scheduler.js';
import { Settling } from './_settling.js';
import { SentReports } from './_sent_reports.js';
import { ViewComparison } from './_view_comparison.js';
import { isCounted, ReceivedReports } from './_received_reports.js';

/** Sends reports in regular rounds, and at once on request. */
export class HostReports {
  readonly #options: HostReportsOptions;

  readonly #roster: Roster;

  readonly #received = new ReceivedReports();

  readonly #role: ReportRole;

  readonly #views: ViewComparison;

  #differingViewCount = 0;

  readonly #links: PeerLinks;

  readonly #builder: ReportBuilder;

  readonly #countedPeers = new CountedPeers();

  readonly #sentReports: SentReports;

  /** Whether this entry host knows all others. */
  readonly settling: Settling;

  readonly #scheduler: ReportScheduler;

  readonly #rosterLog: RosterLog;

  readonly #presentHosts = new PresentHosts();

  /** @param options - dependencies and callbacks */
  constructor(options: HostReportsOptions) {
    this.#options = options;
    this.#rosterLog = new RosterLog(options.log);
    const { peers, clock, log, self, cores, seedPeerUrls } = options;
    this.#sentReports = new SentReports(clock);
    this.#roster = new Roster({
      identity: self,
      bornAtMs: clock.wallMs(),
      version: 1,
      cores,
      isServing: false,
      isInTouch: false,
      isCutOff: false,
      isLeaving: false,
    });
    this.#views = new ViewComparison({ clock, log, roster: this.#roster });
    const shared = { roster: this.#roster, received: this.#received, views: this.#views };
    this.#role = new ReportRole(shared);
    this.settling = new Settling({ ...shared, clock, role: this.#role });
    const { settling } = this;
    this.#builder = new ReportBuilder({ ...shared, ...options, role: this.#role, settling });
    this.#links = new PeerLinks({ peers, clock, log, selfUrl: self.peerUrl, seeds: seedPeerUrls });
    this.#scheduler = new ReportScheduler({
      clock,
      isMember: () => this.#role.relayId !== undefined,
      onRound: () => this.#runRound(),
    });
    peers.handle(PeerMessageType.HostReport, (from, report) => this.#handleReport(from, report));
  }

  /** Starts to report. */
  start(): void {
    this.#scheduler.start();
  }

  /** Stops reporting. */
  stop(): void {
    this.#scheduler.stop();
  }

  /** @param peerUrls - URLs of the seed peers from now on */
  setSeedUrls(peerUrls: readonly string[]): void {
    this.#links.setSeedUrls(peerUrls);
    this.#updateRole();
  }

  /** Reports at once, without waiting for the next round. */
  sendNow(): void {
    this.#roster.updateSelf(this.#options.getState());
    this.#sendTo(this.listTargets());
  }

  /** @returns peers that are heard from, directly or through a relay */
  listHeard(): readonly HostState[] {
    return this.#roster.listHeard();
  }

  /** @returns all known peers, also silent ones; the same array until any of them changes */
  listKnown(): readonly HostState[] {
    return this.#roster.listKnown();
  }

  /** @returns known peers but leaving and long silent ones; the same array until that changes */
  listPresent(): readonly HostState[] {
    return this.#presentHosts.list;
  }

  /** Whether this entry host has had enough time to discover all others. */
  get isSettled(): boolean {
    return this.settling.isSettled;
  }

  /** @returns number of heard peers that serve callers */
  countServing(): number {
    return this.#roster.countServing();
  }

  /** The state that this entry host reports about itself. */
  get self(): HostState {
    return this.#roster.self;
  }

  /** Number of known entry hosts, including this one. */
  get knownCount(): number {
    return this.#roster.size;
  }

  /** Number of peers that have heard other hosts than this one for long. */
  get differingViewCount(): number {
    return this.#differingViewCount;
  }

  /** Whether this entry host is a relay. */
  get isRelay(): boolean {
    return this.#role.isRelay;
  }

  /** @param id - an entry host's ID. @returns whether it is a relay in the present plan */
  isPlannedRelay(id: string): boolean {
    return this.#role.isPlannedRelay(id);
  }

  /** @param incarnation - a peer's process. @returns whether it is a member of this relay */
  hasMember(incarnation: string): boolean {
    return this.#role.hasMember(incarnation);
  }

  /** @returns linked peers that this entry host reports to */
  listTargets(): readonly EntryHostIdentity[] {
    const linked = this.#options.peers.listLinkedPeers();
    return linked.filter((peer) => this.#role.pickScope(peer) !== undefined);
  }

  /**
   * Lists the peers that a relay forwards a message to: its members, and for a message from a
   * member also all other peers. Relays send their messages to each other directly.
   *
   * @param from - linked peer that has sent the message
   * @returns linked peers that receive the message only through this entry host
   */
  listForwardTargets({ incarnation }: EntryHostIdentity): readonly EntryHostIdentity[] {
    if (!this.isRelay) return [];
    const isFromMember = this.hasMember(incarnation);
    return this.listTargets()
      .filter((peer) => peer.incarnation !== incarnation)
      .filter((peer) => isFromMember || this.hasMember(peer.incarnation));
  }

  /** @param incarnation - a peer's process. @returns number of its newest report; 0: none */
  findHeardSequence(incarnation: string): number {
    return this.#received.find(incarnation)?.report.sequence ?? 0;
  }

  /** @param sequence - number of an own report. @returns its send time; undefined if it is old */
  findSentAt(sequence: number): ClockReading | undefined {
    return this.#sentReports.findSentAt(sequence);
  }

  #runRound(): void {
    const { clock, onReachableFraction } = this.#options;
    this.#expire();
    this.#updateRole();
    const reachableCount = this.#received.countReachable(this.#role.origin, clock.nowMs());
    onReachableFraction(Math.min(1, (reachableCount + 1) / this.knownCount));
    this.#roster.updateSelf(this.#options.getState());
    this.#sendRound();
  }

  #sendRound(): void {
    const targets = this.listTargets();
    const members = targets.filter(({ incarnation }) => this.hasMember(incarnation));
    const hasMembers = members.length > 0;
    this.#sendTo(hasMembers ? members : targets);
    if (!hasMembers) return;
    this.#scheduler.scheduleRelaySend(() =>
      this.#sendTo(this.listTargets().filter(({ incarnation }) => !this.hasMember(incarnation))),
    );
  }

  #sendTo(peers: readonly EntryHostIdentity[]): void {
    this.#sentReports.beginReport();
    peers.forEach((peer) => this.#sendReport(peer));
  }

  #updateRole(): void {
    const { log, clock } = this.#options;
    if (this.#role.update(clock.nowMs())) {
      log.write(LogLevel.Info, 'report_role_changed', {
        isRelay: this.isRelay,
        relay: this.#role.relayId,
        relays: this.#role.relayCount,
        entryHosts: this.knownCount,
      });
    }
    const proxies = this.#options.listWantedPeers?.() ?? [];
    this.#links.update({
      wantedUrls: [...this.#role.listLinkTargets(), ...proxies].map(
        ({ identity }) => identity.peerUrl,
      ),
      heard: this.#roster.listHeard(),
      isUsed: ({ incarnation }) =>
        this.#received.find(incarnation) !== undefined ||
        this.#options.carriesRequests?.(incarnation) === true,
    });
    this.#notifyUncounted();
  }

  #notifyUncounted(): void {
    const counted = this.#received.listCounted(this.#role.origin).map(({ identity }) => identity);
    this.#countedPeers.retainOnly(counted).forEach((identity) => this.#options.onSilent(identity));
  }

  #handleReport(identity: EntryHostIdentity, report: HostReportMessage): void {
    const nowMs = this.#options.clock.nowMs();
    const { incarnation } = identity;
    const wasKnown = this.#roster.knowsProcess(identity);
    const isFirstReport = !this.#received.find(incarnation);
    const received = { identity, report, receivedAtMs: nowMs };
    this.#received.put(received);
    this.#roster.recordContact(incarnation, nowMs);
    report.roster
      .filter((entry) => this.#roster.applyEntry(incarnation, entry, nowMs))
      .forEach(({ state }) => this.#rosterLog.logSeen(state.identity));
    if (report.scope === ReportScope.Member) this.#roster.addMember(identity);
    this.#role.recordReport(received);
    if (report.scope === ReportScope.Group) this.#views.recordReport(identity, report.view);
    if (isFirstReport) this.#updateRole();
    const isNewProcess = !wasKnown && report.hostCount === 1;
    if (isCounted(received, this.#role.origin))
      this.#notifyCounted({ identity, report, isNewProcess });
    if (isFirstReport && this.hasMember(incarnation)) {
      // A new member knows no peers until its relay answers.
      this.#sendTo([identity]);
    }
    const isFromRelay = report.scope === ReportScope.Fleet && identity.id === this.#role.relayId;
    if (isFromRelay) this.#scheduler.handleRelayReport();
  }

  #notifyCounted(counted: CountedReport): void {
    if (counted.report.hostCount === 0) return;
    this.#countedPeers.add(counted.identity);
    this.#options.onReport(counted);
  }

  #sendReport(peer: EntryHostIdentity): void {
    const scope = this.#role.pickScope(peer);
    if (scope === undefined) return;
    const report = this.#builder.build(peer, scope, this.#sentReports.sequence);
    this.#options.peers.send(peer.incarnation, report);
  }

  #expire(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#received.dropSilent(nowMs);
    this.#differingViewCount = this.#views.review((id) => this.#received.find(id) !== undefined);
    const { silent, forgotten } = this.#roster.removeExpired(nowMs);
    this.#presentHosts.update(this.#roster.listPresent(nowMs));
    silent.forEach(({ identity }) => this.#rosterLog.logSilent(identity));
    forgotten.forEach(({ identity }) => this.#rosterLog.logForgotten(identity));
  }
}
