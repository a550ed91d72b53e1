/**
 * Tracks the backend servers that may be given work, and their load.
 *
 * @module
 */
import { ServerDirectory } from '../../domain/backend_servers/mod.js';
import type {
  BackendServerEntry,
  Candidate,
  ServerLoad,
} from '../../domain/backend_servers/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import type { FeedChange, FeedItem, LogFields, ServerEvidence } from '../../ports/mod.js';
import type { FeedContext, SnapshotContext } from './feed_update.js';
import { CandidateCache } from './_candidate_cache.js';
import { EndedIncarnations } from './_ended_incarnations.js';
import { LeavingIncarnations } from './_leaving_incarnations.js';
import { EntryApplier } from './_entry_applier.js';
import { computeBlockedMs } from './_service_capacity.js';
import { WarmupTracker } from './_warmup_tracker.js';
import { ServerNotices } from './_server_notices.js';
import { PeerStatsTable } from './_peer_stats.js';
import type { PeerStats } from './_peer_stats.js';
import { ServerVersions } from './_server_versions.js';
import { ServerLoads } from './_server_loads.js';
import type { ServerTraits } from './_server_loads.js';
import type { ServerRegistryOptions } from './server_registry_options.js';

/** Combines registrations, stats from peers and the outcomes of own requests. */
export class ServerRegistry {
  readonly #options: ServerRegistryOptions;

  readonly #entries: EntryApplier;

  readonly #directory = new ServerDirectory();

  /** Newest stats that peers report. */
  readonly peers = new PeerStatsTable();

  /** Loads of the backend servers. */
  readonly loads: ServerLoads;

  /** What answers say of their servers. */
  readonly notices: ServerNotices;

  /** Software versions of the servers. */
  readonly versions: ServerVersions;

  readonly #endedIncarnations = new EndedIncarnations();

  readonly #leaving = new LeavingIncarnations();

  readonly #warmups: WarmupTracker;

  readonly #candidateLists: CandidateCache;

  readonly #changeHandlers: (() => void)[] = [];

  readonly #restartHandlers: ((endedId: string) => void)[] = [];

  /** @param options - dependencies and settings */
  constructor(options: ServerRegistryOptions) {
    this.#options = options;
    this.#warmups = new WarmupTracker(options);
    this.versions = new ServerVersions(this.#directory, options);
    this.#entries = new EntryApplier({
      ...options,
      versions: this.versions.history,
      directory: this.#directory,
      ended: this.#endedIncarnations,
      leaving: this.#leaving,
      warmups: this.#warmups,
    });
    this.notices = new ServerNotices({ ...options, listServers: this.#listActive.bind(this) });
    this.notices.onChange(() => this.#notifyChange());
    this.loads = new ServerLoads({
      ...options,
      peers: this.peers,
      findTraits: (id) => this.#findTraits(id),
    });
    this.#candidateLists = new CandidateCache(options.clock, (id) => this.#buildCandidates(id));
  }

  /** Number of backend servers that are warming up. */
  get coldCount(): number {
    return this.#directory.list().filter((entry) => this.#warmups.isCold(entry)).length;
  }

  /** @param handler - called after each applied read and each change of a rate limit */
  onChange(handler: () => void): void {
    this.#changeHandlers.push(handler);
  }

  /** @param handler - called with each incarnation that a restart of its server has ended */
  onRestart(handler: (endedId: string) => void): void {
    this.#restartHandlers.push(handler);
  }

  /** @param serviceId - a service. @returns backend servers that may be given work */
  listCandidates(serviceId: string): readonly Candidate[] {
    return this.#candidateLists.get(serviceId);
  }

  #listActive(serviceId: string): readonly BackendServerEntry[] {
    return this.#directory.listUsable(serviceId, this.#options.clock.nowMs());
  }

  #buildCandidates(serviceId: string): readonly Candidate[] {
    const { places, findRegion } = this.#options;
    return this.#listActive(serviceId)
      .filter(({ availabilityZone }) => !places.isClosed(availabilityZone))
      .map((entry) => {
        const load = this.#updatePace(entry);
        const region = findRegion(entry.availabilityZone);
        return { id: entry.id, load, region, version: this.versions.find(entry.id) };
      });
  }

  /** @returns usable backend servers that name a rate limit; updates their pace */
  listLimitedIds(): readonly string[] {
    const ids = this.notices.rateLimits.listLimitedIds().filter((id) => this.isUsable(id));
    ids.flatMap((id) => this.findEntry(id) ?? []).forEach((entry) => this.#updatePace(entry));
    return ids;
  }

  /** @returns services of which a backend server names a rate limit */
  listLimitedServices(): readonly string[] {
    const entries = this.notices.rateLimits.listLimitedIds().map((id) => this.findEntry(id));
    return [...new Set(entries.flatMap((entry) => entry?.serviceId ?? []))];
  }

  /** @param serviceId - a service. @returns whether only closed zones keep requests from it */
  hasOnlyClosedZones(serviceId: string): boolean {
    if (this.listCandidates(serviceId).length > 0) return false;
    return this.#listActive(serviceId).length > 0;
  }

  /** @param serviceId - a service. @returns whether it has servers, and all of them leave */
  hasOnlyLeaving(serviceId: string): boolean {
    if (this.listCandidates(serviceId).length > 0) return false;
    const entries = this.listEntries().filter((entry) => entry.serviceId === serviceId);
    return (
      entries.length > 0 && entries.every(({ id, isLeaving }) => isLeaving || this.#leaving.has(id))
    );
  }

  /**
   * @param serviceId - a service
   * @returns time until any of its servers takes a request, in milliseconds; 0 if one may do so
   *   now or none is known, Infinity if all of them leave
   */
  estimateBlockedMs(serviceId: string): number {
    const candidates = this.listCandidates(serviceId);
    if (candidates.length === 0) return this.hasOnlyLeaving(serviceId) ? Infinity : 0;
    return computeBlockedMs(candidates, this.#options.clock.nowMs());
  }

  /** @param id - a server incarnation. @returns whether it may be given work at present */
  isUsable(id: string): boolean {
    const zone = this.findEntry(id)?.availabilityZone;
    return zone !== undefined && !this.#options.places.isClosed(zone) && this.#isActive(id);
  }

  /** Tells whether an incarnation is usable, whether or not its zone is closed. */
  #isActive(id: string): boolean {
    return this.#directory.isUsable(id, this.#options.clock.nowMs());
  }

  /** @returns entries of all known servers, also of those that shut down */
  listEntries(): readonly BackendServerEntry[] {
    return this.#directory.list();
  }

  /** @param id - a server incarnation. @returns its entry */
  findEntry(id: string): BackendServerEntry | undefined {
    return this.#directory.find(id);
  }

  /** @param serviceId - a service. @returns number of calls at peers that wait for its slots */
  countWaitingAtPeers(serviceId: string): number {
    return this.peers.getTotal('waitingCalls', serviceId);
  }

  /** @returns server incarnations whose answers have said that they leave */
  listLeavingIds(): readonly string[] {
    const hasEntry = (id: string): boolean => this.findEntry(id) !== undefined;
    return this.#leaving.listReported(this.#options.clock.nowMs(), hasEntry);
  }

  /** @returns server incarnations that have ended although entries may not say so */
  listEndedIds(): readonly string[] {
    return this.#endedIncarnations.list();
  }

  /** @param source - a peer's process. @param stats - its report; undefined when it is gone */
  applyPeerStats(source: string, stats: PeerStats | undefined): void {
    this.peers.set(source, stats);
    this.loads.applyPeerTotals(this.#options.countServing());
    this.loads.speeds.applyReport(source, stats);
    stats?.endedServers.forEach((id) => this.recordEnded(id));
    stats?.leavingServers.forEach((id) => this.#recordLeaving(id, { source }));
    if (stats) this.notices.applyReported(stats, source, (id) => this.findEntry(id) !== undefined);
  }

  /**
   * @param id - a server incarnation
   * @returns whether a request may be sent to it; a peer may know a server without an entry here
   */
  mayReceive(id: string): boolean {
    if (this.notices.pauses.isPaused(id)) return false;
    return this.findEntry(id) ? this.isUsable(id) : !this.#leaving.has(id);
  }

  /** @param evidence - an answer that tells something of its server */
  recordNotice(evidence: ServerEvidence): void {
    const { incarnationId, notice, requestId } = evidence;
    if (notice.isLeaving) this.#recordLeaving(incarnationId, { source: 'answer', requestId });
    this.notices.recordAnswer(evidence, this.findEntry(evidence.incarnationId)?.serviceId);
  }

  /** @param id - a server incarnation whose address has answered as another one */
  recordEnded(id: string): void {
    if (this.#directory.find(id)) this.#endedIncarnations.add(id);
    if (this.#directory.recordEnded(id)) this.#handleEnded(id);
  }

  /** An incarnation that leaves never comes back, whatever an entry of it says. */
  #recordLeaving(id: string, evidence: LogFields): void {
    if (!this.#leaving.add(id, this.#options.clock.nowMs())) return;
    this.#directory.recordEnded(id);
    this.#options.log.write(LogLevel.Info, 'backend_server_leaving', {
      backendServer: id,
      service: this.findEntry(id)?.serviceId,
      ...evidence,
    });
    this.#notifyChange();
  }

  #handleEnded(backendServer: string): void {
    this.#candidateLists.clear();
    this.#options.log.write(LogLevel.Info, 'backend_server_ended', { backendServer });
  }

  #updatePace(entry: BackendServerEntry): ServerLoad {
    const load = this.loads.getOrCreate(entry.id);
    this.#warmups.updatePace(entry, load);
    this.notices.updatePace(entry, load);
    return load;
  }

  /**
   * Applies a full read of the store.
   *
   * @param items - all items that were read
   * @param context - circumstances of the read
   */
  applySnapshot(items: readonly FeedItem[], context: SnapshotContext): void {
    this.#entries.applySnapshot(items, context).forEach((id) => this.#handleRestart(id));
    this.#refresh();
  }

  /**
   * Applies changes.
   *
   * @param changes - all changes of the store
   * @param context - circumstances of the read
   */
  applyChanges(changes: readonly FeedChange[], context: FeedContext): void {
    this.#entries.applyChanges(changes, context, (id) => this.#handleRestart(id));
    this.#refresh();
  }

  /** Ends what was sent to a former incarnation, whose connections may stay silent for long. */
  #handleRestart(endedId: string): void {
    this.#endedIncarnations.add(endedId);
    this.#handleEnded(endedId);
    this.#restartHandlers.forEach((handler) => handler(endedId));
  }

  #refresh(): void {
    this.#entries.removeExpired().forEach((id) => {
      this.loads.delete(id);
      this.notices.forget(id);
      this.#options.paths.forget(id);
    });
    this.#notifyChange();
  }

  #notifyChange(): void {
    this.#candidateLists.clear();
    this.#changeHandlers.forEach((handler) => handler());
  }

  #findTraits(id: string): ServerTraits {
    const entry = this.#directory.find(id);
    const isEngine = entry !== undefined && this.#options.isEngine(entry.serviceId);
    return { slots: entry?.slots ?? 1, isEngine, serviceId: entry?.serviceId ?? '' };
  }
}
