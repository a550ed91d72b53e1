/**
 * Joins links, heartbeats and the host list to one view of the entry hosts.
 *
 * @module
 */
import {
  EntryHostTable,
  HostRole,
  HostState,
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

/** What the directory needs. */
export interface PeerDirectoryOptions {
  readonly self: EntryHostIdentity;
  readonly seedPeerUrls: readonly string[];
  readonly suspectAfterMs: number;
  readonly forgetAfterMs: number;
}

/** Keeps who is there; time comes in as an argument. */
export class PeerDirectory {
  readonly #options: PeerDirectoryOptions;

  readonly #table: EntryHostTable;

  readonly #reports = new PeerReports();

  readonly #responsibleByKey = new Map<string, EntryHostIdentity>();

  #listedHosts: ReadonlyMap<string, ListedHost> = new Map();

  #states: ReadonlyMap<string, PeerState> = new Map();

  #isSelfStopping = false;

  /** @param options - what the directory needs */
  constructor(options: PeerDirectoryOptions) {
    this.#options = options;
    this.#table = new EntryHostTable(options);
    this.updateStates(0);
  }

  /** Whether this process was told to stop. */
  get isSelfStopping(): boolean {
    return this.#isSelfStopping;
  }

  /** Takes note that this process was told to stop. */
  setSelfStopping(): void {
    this.#isSelfStopping = true;
  }

  /** @param list - the host list in force */
  applyHostList(list: HostList): void {
    const entryHosts = list.hosts.filter((host) => host.role === HostRole.EntryHost);
    this.#listedHosts = new Map(entryHosts.map((host) => [host.id, host]));
  }

  /** @param identity - who came up. @param nowMs - monotonic time. @returns what became of it */
  addPeer(identity: EntryHostIdentity, nowMs: number): AddedIncarnation {
    const listIndex = this.#listedHosts.get(identity.id)?.modifyIndex ?? 0;
    const added = this.#table.addIncarnation(identity, nowMs, listIndex);
    if (added.replaced) this.#reports.remove(added.replaced.incarnation);
    return added;
  }

  /** @param incarnation - who said something. @param nowMs - monotonic time */
  recordContact(incarnation: string, nowMs: number): void {
    this.#table.noteHeard(incarnation, nowMs);
  }

  /** @param incarnation - who answered. @param requestedAtMs - when the question was sent */
  recordReply(incarnation: string, requestedAtMs: number): void {
    this.#table.noteReply(incarnation, requestedAtMs);
  }

  /** @param nowMs - when this process woke from a pause */
  recordWake(nowMs: number): void {
    this.#table.noteWake(
      nowMs,
      (incarnation) => this.#states.get(incarnation) !== PeerState.Suspected,
    );
  }

  /** @param incarnation - whose word. @returns its newest word */
  findReport(incarnation: string): PeerReport | undefined {
    return this.#reports.find(incarnation);
  }

  /** @param incarnation - whose word. @param report - the word. @returns whether it is newer */
  mergeReport(incarnation: string, report: PeerReport): boolean {
    return this.#reports.merge(incarnation, report);
  }

  /**
   * Judges everybody anew.
   *
   * @param nowMs - monotonic time
   * @returns whether anybody came, went or changed state
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

  /** @param incarnation - which one. @returns its state as last judged */
  getState(incarnation: string): PeerState | undefined {
    return this.#states.get(incarnation);
  }

  /** @param incarnation - which one. @param nowMs - monotonic time. @returns its view */
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

  /** @returns IDs that the host list has or that are known without it, this one's too, sorted */
  listKnownIds(): readonly string[] {
    const known = this.#table.list().map(({ identity }) => identity.id);
    return [...new Set([this.#options.self.id, ...this.#listedHosts.keys(), ...known])].sort();
  }

  /** @returns peer URLs to keep links to */
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

  /** @param key - the key. @returns who is responsible for it */
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
    const isListedLeaving = this.#listedHosts.get(this.#options.self.id)?.state === HostState.Leaving;
    return this.#isSelfStopping || isListedLeaving ? PeerState.Leaving : PeerState.Live;
  }

  /** The list's word about an earlier incarnation does not hold for its successor. */
  #getReportedState({ identity, staleListIndex }: EntryHostRecord): PeerState {
    const report = this.#reports.find(identity.incarnation);
    const listed = this.#listedHosts.get(identity.id);
    const isListedLeaving =
      listed?.state === HostState.Leaving && listed.modifyIndex > staleListIndex;
    if (report?.leaving || isListedLeaving) return PeerState.Leaving;
    return report?.ready ? PeerState.Live : PeerState.Starting;
  }

  #buildSelfView(): EntryHostView {
    return { identity: this.#options.self, state: this.#getSelfState(), silentMs: 0 };
  }

  #buildView({ identity, heardAtMs }: EntryHostRecord, nowMs: number): EntryHostView {
    const state = this.#states.get(identity.incarnation) ?? PeerState.Live;
    return { identity, state, silentMs: Math.max(0, nowMs - heardAtMs) };
  }
}
