/**
 * Combines links, heartbeats and the host list into one view of the entry hosts.
 *
 * @module
 */
import {
  EntryHostTable,
  HostRole,
  ListedHostState,
  PeerReports,
  PeerState,
  pickByRendezvous,
} from '../../domain/membership/mod.js';
import type {
  AddedIncarnation,
  EntryHostIdentity,
  EntryHostRecord,
  EntryHostView,
  HostList,
  ListedHost,
  PeerReport,
} from '../../domain/membership/mod.js';

/** Options of {@link PeerDirectory}. */
export interface PeerDirectoryOptions {
  readonly self: EntryHostIdentity;
  /** Peers to keep links to, whether or not the host list contains them. */
  readonly seedPeerUrls: readonly string[];
  /** Silence after which a peer is suspected, in milliseconds. */
  readonly suspectAfterMs: number;
  /** Silence after which an unlisted peer is removed, in milliseconds. */
  readonly forgetAfterMs: number;
}

/** Keeps the known entry hosts and their states. Callers pass the current time in. */
export class PeerDirectory {
  readonly #options: PeerDirectoryOptions;

  readonly #table: EntryHostTable;

  readonly #reports = new PeerReports();

  readonly #responsibleByKey = new Map<string, EntryHostIdentity>();

  #listedHosts: ReadonlyMap<string, ListedHost> = new Map();

  #states: ReadonlyMap<string, PeerState> = new Map();

  #isSelfStopping = false;

  /** @param options - this entry host's identity, seed peers and timeouts */
  constructor(options: PeerDirectoryOptions) {
    this.#options = options;
    this.#table = new EntryHostTable(options);
    this.updateStates(0);
  }

  /** Whether this process is stopping. */
  get isSelfStopping(): boolean {
    return this.#isSelfStopping;
  }

  /** Records that this process is stopping. */
  setSelfStopping(): void {
    this.#isSelfStopping = true;
  }

  /** Replaces the host list. @param list - the newest accepted list */
  applyHostList(list: HostList): void {
    const entryHosts = list.hosts.filter((host) => host.role === HostRole.EntryHost);
    this.#listedHosts = new Map(entryHosts.map((host) => [host.id, host]));
  }

  /** Adds a peer. @param identity - the peer. @param nowMs - monotonic time. @returns the outcome */
  addPeer(identity: EntryHostIdentity, nowMs: number): AddedIncarnation {
    const listIndex = this.#listedHosts.get(identity.id)?.modifyIndex ?? 0;
    const added = this.#table.addIncarnation(identity, nowMs, listIndex);
    if (added.replaced) this.#reports.remove(added.replaced.incarnation);
    return added;
  }

  /** Records a message from a peer. @param incarnation - the peer. @param nowMs - monotonic time */
  recordContact(incarnation: string, nowMs: number): void {
    this.#table.recordContact(incarnation, nowMs);
  }

  /**
   * Records a reply to a heartbeat.
   *
   * @param incarnation - the peer that replied
   * @param requestedAtMs - when the heartbeat was sent
   */
  recordReply(incarnation: string, requestedAtMs: number): void {
    this.#table.recordReply(incarnation, requestedAtMs);
  }

  /** Records the end of a pause of this process. @param nowMs - monotonic time */
  recordWake(nowMs: number): void {
    this.#table.recordWake(
      nowMs,
      (incarnation) => this.#states.get(incarnation) !== PeerState.Suspected,
    );
  }

  /** @param incarnation - the reporting peer. @returns the peer's newest report */
  findReport(incarnation: string): PeerReport | undefined {
    return this.#reports.find(incarnation);
  }

  /**
   * Stores a peer's report unless a newer one is stored already.
   *
   * @param incarnation - the reporting peer
   * @param report - the report
   * @returns whether the report is newer than the stored one
   */
  mergeReport(incarnation: string, report: PeerReport): boolean {
    return this.#reports.merge(incarnation, report);
  }

  /**
   * Recomputes the state of every entry host and removes expired peers.
   *
   * @param nowMs - monotonic time
   * @returns whether an entry host was added, was removed or changed its state
   */
  updateStates(nowMs: number): boolean {
    const removed = this.#table.prune(nowMs, (id) => this.#listedHosts.has(id));
    removed.forEach(({ incarnation }) => this.#reports.remove(incarnation));
    const { self } = this.#options;
    const next = new Map<string, PeerState>([[self.incarnation, this.#getSelfState()]]);
    this.#table.list().forEach((record) => {
      const state = this.#table.getState(record, this.#getReportedState(record), nowMs);
      next.set(record.identity.incarnation, state);
    });
    const isUnchanged =
      next.size === this.#states.size &&
      [...next].every(([incarnation, state]) => this.#states.get(incarnation) === state);
    if (isUnchanged) return false;
    this.#states = next;
    this.#responsibleByKey.clear();
    return true;
  }

  /** @param incarnation - which incarnation. @returns its state as last computed */
  getState(incarnation: string): PeerState | undefined {
    return this.#states.get(incarnation);
  }

  /** @param incarnation - which incarnation. @param nowMs - monotonic time. @returns its view */
  findView(incarnation: string, nowMs: number): EntryHostView | undefined {
    const { self } = this.#options;
    if (incarnation === self.incarnation) return this.#buildSelfView();
    const record = this.#table.find(incarnation);
    return record && this.#buildView(record, nowMs);
  }

  /** @param nowMs - monotonic time. @returns every known entry host, this one first */
  listViews(nowMs: number): readonly EntryHostView[] {
    const peers = this.#table.list().map((record) => this.#buildView(record, nowMs));
    return [this.#buildSelfView(), ...peers];
  }

  /** @returns sorted IDs of listed and other known entry hosts, including this one */
  listKnownIds(): readonly string[] {
    const known = this.#table.list().map(({ identity }) => identity.id);
    return [...new Set([this.#options.self.id, ...this.#listedHosts.keys(), ...known])].sort();
  }

  /** @returns sorted URLs of the peers to keep links to, without this entry host */
  listPeerUrls(): readonly string[] {
    const { self, seedPeerUrls } = this.#options;
    const listed = [...this.#listedHosts.values()].filter(({ id }) => id !== self.id);
    const known = this.#table.list().map(({ identity }) => identity.peerUrl);
    const urls = new Set([
      ...seedPeerUrls,
      ...listed.flatMap((host) => host.peerUrl ?? []),
      ...known,
    ]);
    urls.delete(self.peerUrl);
    return [...urls].sort();
  }

  /** @param key - the key. @returns the live entry host that is responsible for it */
  pickResponsible(key: string): EntryHostIdentity {
    const cached = this.#responsibleByKey.get(key);
    if (cached) return cached;
    const live = [...this.#states].filter(([, state]) => state === PeerState.Live);
    const picked = pickByRendezvous(
      key,
      live.map(([incarnation]) => incarnation),
    );
    const record = picked === undefined ? undefined : this.#table.find(picked);
    const responsible = record?.identity ?? this.#options.self;
    this.#responsibleByKey.set(key, responsible);
    return responsible;
  }

  #getSelfState(): PeerState {
    const isListedLeaving =
      this.#listedHosts.get(this.#options.self.id)?.state === ListedHostState.Leaving;
    return this.#isSelfStopping || isListedLeaving ? PeerState.Leaving : PeerState.Live;
  }

  /**
   * Derives a peer's state from its report and the host list. A list entry that was
   * written before this incarnation appeared refers to an earlier one and is ignored.
   */
  #getReportedState({ identity, outdatedListIndex: staleListIndex }: EntryHostRecord): PeerState {
    const report = this.#reports.find(identity.incarnation);
    const listed = this.#listedHosts.get(identity.id);
    const isListedLeaving =
      listed?.state === ListedHostState.Leaving && listed.modifyIndex > staleListIndex;
    if (report?.leaving || isListedLeaving) return PeerState.Leaving;
    return report?.ready ? PeerState.Live : PeerState.Starting;
  }

  #buildSelfView(): EntryHostView {
    return { identity: this.#options.self, state: this.#getSelfState(), silentMs: 0 };
  }

  #buildView(
    { identity, lastContactAtMs: heardAtMs }: EntryHostRecord,
    nowMs: number,
  ): EntryHostView {
    const state = this.#states.get(identity.incarnation) ?? PeerState.Live;
    return { identity, state, silentMs: Math.max(0, nowMs - heardAtMs) };
  }
}
