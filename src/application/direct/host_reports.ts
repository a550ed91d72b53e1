/**
 * Tells peers what this entry host does, keeps what they tell, and passes it on where
 * this entry host is a relay.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { Moment } from '../../domain/freshness/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { ReportScope, Roster } from '../../domain/overlay/mod.js';
import type { HostState } from '../../domain/overlay/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { Clock, EventLog, HostReportMessage, PeerNetwork } from '../../ports/mod.js';
import { CountedHosts } from './_counted_hosts.js';
import { PeerLinks } from './_peer_links.js';
import { ReportBuilder } from './_report_builder.js';
import type { CountedReport, FigureSources, ReportFigures } from './report_figures.js';
import { ReportRole } from './_report_role.js';
import { RosterLog } from './_roster_log.js';
import { ReportRounds } from './_report_rounds.js';
import { hasSettled } from './_settling.js';
import { SentReports } from './_sent_reports.js';
import { isCounted, ReportSources } from './_report_sources.js';

/** What the reports need, and what they call. */
export interface HostReportsOptions {
  readonly self: EntryHostIdentity;
  /** Processor cores that this process may use. */
  readonly cores: number;
  readonly peers: PeerNetwork;
  /** Peers' addresses to begin with. */
  readonly seedPeerUrls: readonly string[];
  readonly clock: Clock;
  readonly log: EventLog;
  readonly getState: () => Pick<HostState, 'isServing' | 'isInTouch' | 'isLeaving'>;
  readonly buildFigures: (sources: FigureSources) => ReportFigures;
  /** Called with each report that counts. */
  readonly onReport: (report: CountedReport) => void;
  /** Called when the reports of a process count no more. */
  readonly onSilent: (identity: EntryHostIdentity) => void;
  /** Called after each round with the part of all known entry hosts within reach. */
  readonly onReach: (reach: number) => void;
}

/** Sends reports again and again, and at once when something matters. */
export class HostReports {
  readonly #options: HostReportsOptions;

  readonly #roster: Roster;

  readonly #sources = new ReportSources();

  readonly #role: ReportRole;

  readonly #links: PeerLinks;

  readonly #builder: ReportBuilder;

  readonly #counted = new CountedHosts();

  readonly #sent: SentReports;

  readonly #startedAtMs: number;

  readonly #rounds: ReportRounds;

  readonly #rosterLog: RosterLog;

  /** @param options - what the reports need */
  constructor(options: HostReportsOptions) {
    this.#options = options;
    this.#rosterLog = new RosterLog(options.log);
    const { peers, clock, log, self, cores, seedPeerUrls } = options;
    this.#sent = new SentReports(clock);
    this.#startedAtMs = clock.nowMs();
    this.#roster = new Roster({
      identity: self,
      bornAtMs: clock.wallMs(),
      version: 1,
      cores,
      isServing: false,
      isInTouch: false,
      isLeaving: false,
    });
    this.#role = new ReportRole({ roster: this.#roster, sources: this.#sources });
    this.#builder = new ReportBuilder({
      roster: this.#roster,
      role: this.#role,
      sources: this.#sources,
      buildFigures: options.buildFigures,
    });
    this.#links = new PeerLinks({ peers, clock, log, selfUrl: self.peerUrl, seeds: seedPeerUrls });
    this.#rounds = new ReportRounds({
      clock,
      isMember: () => this.#role.relayId !== undefined,
      onRound: () => this.#runRound(),
    });
    peers.handle(PeerMessageType.HostReport, (from, report) => this.#handle(from, report));
  }

  /** Begins to report. */
  start(): void {
    this.#rounds.start();
  }

  /** Reports no more. */
  stop(): void {
    this.#rounds.stop();
  }

  /** @param peerUrls - addresses that peers are looked for at, from now on */
  setSeeds(peerUrls: readonly string[]): void {
    this.#links.setSeeds(peerUrls);
    this.#update();
  }

  /** Reports now, without waiting for the next round. */
  sendNow(): void {
    this.#roster.updateSelf(this.#options.getState());
    this.#sendTo(this.listTargets());
  }

  /** @returns peers that are heard, directly or through a relay */
  listHeard(): readonly HostState[] {
    return this.#roster.listHeard();
  }

  /** @returns all peers that are known, also silent ones; the same array until any of them changes */
  listKnown(): readonly HostState[] {
    return this.#roster.listKnown();
  }

  /** Whether this entry host has had the time to hear of all others. */
  get isSettled(): boolean {
    const ageMs = this.#options.clock.nowMs() - this.#startedAtMs;
    return hasSettled(ageMs, this.listHeard().length);
  }

  /** @returns how many peers that are heard serve callers */
  countServing(): number {
    return this.#roster.countServing();
  }

  /** What this entry host tells of itself. */
  get self(): HostState {
    return this.#roster.self;
  }

  /** Entry hosts that are known, this one included. */
  get knownCount(): number {
    return this.#roster.size;
  }

  /** Whether this entry host passes reports on. */
  get isRelay(): boolean {
    return this.#role.isRelay;
  }

  /** @param id - an entry host's name. @returns whether it passes reports on, by the present plan */
  isPlannedRelay(id: string): boolean {
    return this.#role.isPlanned(id);
  }

  /** @param incarnation - a peer's process. @returns whether it is a member of this relay */
  hasMember(incarnation: string): boolean {
    return this.#role.hasMember(incarnation);
  }

  /** @returns linked peers that this entry host reports to */
  listTargets(): readonly EntryHostIdentity[] {
    const linked = this.#options.peers.listLinked();
    return linked.filter((peer) => this.#role.pickScope(peer) !== undefined);
  }

  /**
   * Lists whom a relay passes on to: its members hear everything from it, and everybody else
   * what its members say. Relays tell each other themselves.
   *
   * @param from - a linked peer that has told something
   * @returns linked peers that hear of it only through this entry host
   */
  listFurther({ incarnation }: EntryHostIdentity): readonly EntryHostIdentity[] {
    if (!this.isRelay) return [];
    const isFromMember = this.hasMember(incarnation);
    return this.listTargets()
      .filter((peer) => peer.incarnation !== incarnation)
      .filter((peer) => isFromMember || this.hasMember(peer.incarnation));
  }

  /** @param incarnation - a peer's process. @returns its newest report's number; 0: none */
  findHeardSequence(incarnation: string): number {
    return this.#sources.find(incarnation)?.report.sequence ?? 0;
  }

  /** @param sequence - a report of this process. @returns when it was sent, unless that is long ago */
  findSentAt(sequence: number): Moment | undefined {
    return this.#sent.find(sequence);
  }

  #runRound(): void {
    const { clock, onReach } = this.#options;
    this.#expire();
    this.#update();
    const reached = this.#sources.countReached(this.#role.origin, clock.nowMs());
    onReach(Math.min(1, (reached + 1) / this.knownCount));
    this.#roster.updateSelf(this.#options.getState());
    this.#sendRound();
  }

  #sendRound(): void {
    const targets = this.listTargets();
    const members = targets.filter(({ incarnation }) => this.hasMember(incarnation));
    if (members.length === 0) {
      this.#sendTo(targets);
      return;
    }
    this.#sendTo(members);
    this.#rounds.scheduleFellows(() => {
      this.#sendTo(this.listTargets().filter(({ incarnation }) => !this.hasMember(incarnation)));
    });
  }

  #sendTo(peers: readonly EntryHostIdentity[]): void {
    this.#sent.begin();
    peers.forEach((peer) => this.#send(peer));
  }

  #update(): void {
    const { log, clock } = this.#options;
    if (this.#role.update(clock.nowMs())) {
      log.write(LogLevel.Info, 'report_role_changed', {
        isRelay: this.isRelay,
        relay: this.#role.relayId,
        relays: this.#role.relayCount,
        entryHosts: this.knownCount,
      });
    }
    this.#links.update({
      wanted: this.#role.listWanted().map(({ identity }) => identity.peerUrl),
      heard: this.#roster.listHeard(),
      isUsed: (peer) => this.#sources.find(peer.incarnation) !== undefined,
    });
    this.#dropUncounted();
  }

  #dropUncounted(): void {
    const counted = this.#sources.listCounted(this.#role.origin).map(({ identity }) => identity);
    this.#counted.dropOthers(counted).forEach((identity) => this.#options.onSilent(identity));
  }

  #handle(identity: EntryHostIdentity, report: HostReportMessage): void {
    const nowMs = this.#options.clock.nowMs();
    const { incarnation } = identity;
    const wasKnown = this.#roster.knowsProcess(identity);
    const isFirst = this.#sources.find(incarnation) === undefined;
    const source = { identity, report, heardAtMs: nowMs };
    this.#sources.put(source);
    this.#roster.noteHeard(incarnation, nowMs);
    report.roster.forEach((entry) => {
      if (this.#roster.apply(incarnation, entry, nowMs))
        this.#rosterLog.noteSeen(entry.state.identity);
    });
    if (report.scope === ReportScope.Member) this.#roster.addMember(identity);
    this.#role.noteReport(source);
    if (isFirst) this.#update();
    if (isCounted(source, this.#role.origin)) {
      this.#count({ identity, report, isNewProcess: !wasKnown && report.hostCount === 1 });
    }
    if (isFirst && this.hasMember(incarnation)) {
      // A new member knows nobody until its relay answers.
      this.#sendTo([identity]);
    }
    const isFromRelay = report.scope === ReportScope.Fleet && identity.id === this.#role.relayId;
    if (isFromRelay) this.#rounds.noteRelayReport();
  }

  #count(counted: CountedReport): void {
    if (counted.report.hostCount === 0) return;
    this.#counted.add(counted.identity);
    this.#options.onReport(counted);
  }

  #send(peer: EntryHostIdentity): void {
    const scope = this.#role.pickScope(peer);
    if (scope === undefined) return;
    const report = this.#builder.build(peer, scope, this.#sent.sequence);
    this.#options.peers.send(peer.incarnation, report);
  }

  #expire(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#sources.dropSilent(nowMs);
    const { silent, forgotten } = this.#roster.expire(nowMs);
    silent.forEach(({ identity }) => this.#rosterLog.noteSilent(identity));
    forgotten.forEach(({ identity }) => this.#rosterLog.noteForgotten(identity));
  }
}
