/**
 * Tells peers what this entry host does, and keeps what they tell.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { Moment } from '../../domain/freshness/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type {
  Clock,
  EventLog,
  HostReportMessage,
  Metrics,
  PeerNetwork,
  Timer,
} from '../../ports/mod.js';

/**
 * Time between two reports, in milliseconds. Requests hold a slot for some hundred
 * milliseconds and more, so counts of this age are still mostly right. A report costs
 * about half a millisecond of processor a peer, sending and receiving together
 * (0.023 cores at six peers).
 */
const REPORT_INTERVAL_MS = 150;

/** Silence after which nobody is sent to a peer any more, in milliseconds: several reports. */
const SILENT_AFTER_MS = 900;

/**
 * Silence after which a peer counts as out of reach for limits that all share, in
 * milliseconds: three reports. Until then both sides of a partition spend the whole.
 */
export const REACH_SILENT_MS = 450;

/** Silence after which a peer is forgotten, in milliseconds; a restart takes some seconds. */
const FORGET_AFTER_MS = 20_000;

/** Reports whose sending is remembered: what answers an older one is too old to be of use. */
const REMEMBERED_REPORTS = 64;

/** What the content of a report is made of. */
export type HostReportContent = Omit<HostReportMessage, 'type' | 'peerUrls' | 'sequence'>;

/** A peer as its last report shows it. */
export interface ReportedPeer {
  readonly identity: EntryHostIdentity;
  readonly report: HostReportMessage;
}

/** What the reports need, and what they call. */
export interface HostReportsOptions {
  readonly self: EntryHostIdentity;
  readonly peers: PeerNetwork;
  /** Peers' addresses to begin with. */
  readonly seedPeerUrls: readonly string[];
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly buildContent: () => HostReportContent;
  /** Called with each report. */
  readonly onReport: (peer: ReportedPeer) => void;
  /** Called when a peer has fallen silent or has been replaced by a new process. */
  readonly onSilent: (identity: EntryHostIdentity) => void;
  /** Called after each round with the part of all known entry hosts within reach. */
  readonly onReach: (reach: number) => void;
}

interface KnownPeer extends ReportedPeer {
  readonly heardAtMs: number;
  readonly isSilent: boolean;
}

/** Sends a report to every linked peer again and again, and at once when something matters. */
export class HostReports {
  readonly #options: HostReportsOptions;

  readonly #known = new Map<string, KnownPeer>();

  /** Addresses that links are kept to, with this entry host's own. */
  #dialled: ReadonlySet<string> = new Set();

  #seeds: readonly string[];

  #sequence = 0;

  readonly #sentAt = new Map<number, Moment>();

  #timer: Timer | undefined;

  /** @param options - what the reports need */
  constructor(options: HostReportsOptions) {
    this.#options = options;
    this.#seeds = options.seedPeerUrls;
    options.peers.handle(PeerMessageType.HostReport, (from, report) => this.#handle(from, report));
    options.peers.onLink(({ peer, up }) => {
      options.log.write(LogLevel.Info, up ? 'dependency_regained' : 'dependency_lost', {
        dependency: 'peer',
        entryHost: peer.id,
        incarnation: peer.incarnation,
      });
    });
  }

  /** Begins to report. */
  start(): void {
    this.#updateAddresses();
    this.#tick();
  }

  /** Reports no more. */
  stop(): void {
    this.#timer?.cancel();
  }

  /** @param peerUrls - addresses that peers are looked for at, from now on */
  setSeeds(peerUrls: readonly string[]): void {
    this.#seeds = peerUrls;
    this.#updateAddresses();
  }

  /** Reports now, without waiting for the next round. */
  sendNow(): void {
    const { peers, buildContent } = this.#options;
    this.#sequence += 1;
    this.#noteSent();
    const message: HostReportMessage = {
      type: PeerMessageType.HostReport,
      sequence: this.#sequence,
      peerUrls: this.#listPeerUrls(),
      ...buildContent(),
    };
    peers.listLinked().forEach(({ incarnation }) => peers.send(incarnation, message));
  }

  /** @returns peers that were heard a short while ago */
  listHeard(): readonly ReportedPeer[] {
    return [...this.#known.values()].filter(({ isSilent }) => !isSilent);
  }

  /** @returns the newest report of each peer's process, by its incarnation */
  listHeardSequences(): Record<string, number> {
    const heard = [...this.#known.values()];
    return Object.fromEntries(
      heard.map(({ identity, report }) => [identity.incarnation, report.sequence]),
    );
  }

  /** @param sequence - a report of this process. @returns when it was sent, unless that is long ago */
  findSentAt(sequence: number | undefined): Moment | undefined {
    return sequence === undefined ? undefined : this.#sentAt.get(sequence);
  }

  /** Entry hosts that are known, this one included. */
  get knownCount(): number {
    return this.#known.size + 1;
  }

  #noteSent(): void {
    const { clock } = this.#options;
    this.#sentAt.set(this.#sequence, { steadyMs: clock.nowMs(), wallMs: clock.wallMs() });
    this.#sentAt.delete(this.#sequence - REMEMBERED_REPORTS);
  }

  #tick(): void {
    this.#timer = this.#options.clock.setTimer(REPORT_INTERVAL_MS, () => this.#tick());
    this.#expire();
    this.#options.onReach((this.#countNear() + 1) / this.knownCount);
    this.sendNow();
  }

  #countNear(): number {
    const oldestMs = this.#options.clock.nowMs() - REACH_SILENT_MS;
    return [...this.#known.values()].filter(({ heardAtMs }) => heardAtMs >= oldestMs).length;
  }

  #handle(identity: EntryHostIdentity, report: HostReportMessage): void {
    const before = this.#known.get(identity.id);
    const heardAtMs = this.#options.clock.nowMs();
    if (before && before.identity.incarnation !== identity.incarnation) {
      this.#options.onSilent(before.identity);
    }
    this.#known.set(identity.id, { identity, report, heardAtMs, isSilent: false });
    if (before?.identity.incarnation !== identity.incarnation) this.#logSeen(identity);
    if (!report.peerUrls.every((url) => this.#dialled.has(url))) this.#updateAddresses();
    this.#options.onReport({ identity, report });
  }

  #expire(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#known.forEach((peer, id) => {
      const silentMs = nowMs - peer.heardAtMs;
      if (silentMs > FORGET_AFTER_MS) {
        this.#known.delete(id);
        this.#updateAddresses();
      } else if (silentMs > SILENT_AFTER_MS && !peer.isSilent) {
        this.#known.set(id, { ...peer, isSilent: true });
        this.#options.log.write(LogLevel.Warn, 'entry_host_silent', { entryHost: id, silentMs });
        this.#options.onSilent(peer.identity);
      }
    });
  }

  #logSeen({ id, incarnation, peerUrl }: EntryHostIdentity): void {
    this.#options.log.write(LogLevel.Info, 'entry_host_seen', {
      entryHost: id,
      incarnation,
      peerUrl,
    });
  }

  #listPeerUrls(): string[] {
    const urls = [...this.#known.values()].map(({ identity }) => identity.peerUrl);
    return [this.#options.self.peerUrl, ...urls];
  }

  /** Everybody dials whomever anybody within reach knows. */
  #updateAddresses(): void {
    const told = this.listHeard().flatMap(({ report }) => report.peerUrls);
    const urls = new Set([...this.#seeds, ...this.#listPeerUrls(), ...told]);
    this.#dialled = new Set(urls);
    urls.delete(this.#options.self.peerUrl);
    this.#options.peers.setAddresses([...urls]);
  }
}
