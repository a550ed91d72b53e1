/**
 * Keeps the backend servers that may be given work, and their load.
 *
 * @module
 */
import { EntryEffect, ServerDirectory, ServerLoad } from '../../domain/backend_servers/mod.js';
import type { BackendServerEntry, Candidate } from '../../domain/backend_servers/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import type { FeedChange, FeedItem } from '../../ports/mod.js';
import type { FeedContext } from './feed_follower.js';
import { CandidateLists } from './_candidate_lists.js';
import { EndedIncarnations } from './_ended_lives.js';
import { EntryDecoder } from './_entry_reader.js';
import type { EntryDecoderOptions } from './_entry_reader.js';
import { WarmupGuard } from './_warmup_guard.js';
import type { WarmupGuardOptions } from './_warmup_guard.js';
import { PeerStatsTable } from './_peer_figures.js';
import type { PeerStats } from './_peer_figures.js';

/** What the keeper needs. */
export interface ServerKeeperOptions extends EntryDecoderOptions, WarmupGuardOptions {
  /** @returns entry hosts that serve callers, this one included */
  readonly countServing: () => number;
  /** @returns whether a service's backend servers are model engines */
  readonly isEngine: (serviceId: string) => boolean;
  /** @returns region that a zone lies in; undefined for a zone that nobody knows */
  readonly findRegion: (zone: string) => string | undefined;
}

/** Joins registrations, what peers tell, and what requests have shown. */
export class ServerKeeper {
  readonly #options: ServerKeeperOptions;

  readonly #decoder: EntryDecoder;

  readonly #directory = new ServerDirectory();

  readonly #loads = new Map<string, ServerLoad>();

  /** What peers report. */
  readonly peers = new PeerStatsTable();

  readonly #endedIncarnations = new EndedIncarnations();

  readonly #warmupGuard: WarmupGuard;

  readonly #candidateLists: CandidateLists;

  readonly #changeHandlers: (() => void)[] = [];

  readonly #restartHandlers: ((endedId: string) => void)[] = [];

  /** @param options - what the keeper needs */
  constructor(options: ServerKeeperOptions) {
    this.#options = options;
    this.#decoder = new EntryDecoder(options);
    this.#warmupGuard = new WarmupGuard(options);
    this.#candidateLists = new CandidateLists(options.clock, (id) => this.#buildCandidates(id));
  }

  /** Backend servers that warm up. */
  get coldCount(): number {
    return this.#directory.list().filter((entry) => this.#warmupGuard.isCold(entry)).length;
  }

  /** @param handler - called when another set of backend servers may be given work */
  onChange(handler: () => void): void {
    this.#changeHandlers.push(handler);
  }

  /** @param handler - called with each life that a restart under its name has ended */
  onRestart(handler: (endedId: string) => void): void {
    this.#restartHandlers.push(handler);
  }

  /** @param serviceId - which service. @returns who may be given work */
  listCandidates(serviceId: string): readonly Candidate[] {
    return this.#candidateLists.take(serviceId);
  }

  #buildCandidates(serviceId: string): readonly Candidate[] {
    const { clock, places, findRegion } = this.#options;
    return this.#directory
      .listUsable(serviceId, clock.nowMs())
      .filter(({ availabilityZone }) => !places.isClosed(availabilityZone))
      .map((entry) => {
        const load = this.#getOrCreateLoad(entry.id);
        this.#warmupGuard.update(entry, load);
        return { id: entry.id, load, region: findRegion(entry.availabilityZone) };
      });
  }

  /**
   * Tells whether a service has backend servers, but only in closed zones.
   *
   * @param serviceId - which service
   * @returns whether nothing may be sent to it for that reason
   */
  isClosed(serviceId: string): boolean {
    if (this.listCandidates(serviceId).length > 0) return false;
    return this.#directory.listUsable(serviceId, this.#options.clock.nowMs()).length > 0;
  }

  /** @param id - a life. @returns whether it may be given work at this moment */
  isUsable(id: string): boolean {
    const zone = this.find(id)?.availabilityZone;
    return zone !== undefined && !this.#options.places.isClosed(zone) && this.#isRunning(id);
  }

  #isRunning(id: string): boolean {
    return this.#directory.isUsable(id, this.#options.clock.nowMs());
  }

  /** @param id - a life. @returns its entry */
  find(id: string): BackendServerEntry | undefined {
    return this.#directory.find(id);
  }

  /**
   * Counts requests in flight.
   *
   * @param sources - peers' processes that are counted with this one
   * @returns the counts, by backend server
   */
  countInFlight(sources: readonly string[] = []): Record<string, number> {
    const busyLoads = [...this.#loads].filter(([, { ownInFlight }]) => ownInFlight > 0);
    const counts = Object.fromEntries(busyLoads.map(([id, { ownInFlight }]) => [id, ownInFlight]));
    return this.peers.sum('inFlight', counts, sources);
  }

  /**
   * Counts entry hosts that leave backend servers alone after failures of their own.
   *
   * @param sources - peers' processes that are counted with this one
   * @returns the counts, by backend server
   */
  countAvoiding(sources: readonly string[] = []): Record<string, number> {
    const nowMs = this.#options.clock.nowMs();
    const avoidedLoads = [...this.#loads].filter(([, load]) => load.hasFailed(nowMs));
    const counts = Object.fromEntries(avoidedLoads.map(([id]) => [id, 1]));
    return this.peers.sum('avoidedBy', counts, sources);
  }

  /** @param serviceId - which service. @returns calls that wait for its slots at peers */
  countWaitingAt(serviceId: string): number {
    return this.peers.getTotal('waitingCalls', serviceId);
  }

  /** @returns lives that are over though entries may not say so */
  listEnded(): readonly string[] {
    return this.#endedIncarnations.list();
  }

  /**
   * Takes a peer's report.
   *
   * @param source - incarnation of the peer's process
   * @param stats - what it reports; undefined when it is gone
   */
  applyPeer(source: string, stats: PeerStats | undefined): void {
    this.peers.set(source, stats);
    const hostCount = this.#options.countServing();
    this.#loads.forEach((load, id) => {
      load.setPeersInFlight(this.peers.getTotal('inFlight', id));
      load.setAvoidingHosts(this.peers.getTotal('avoidedBy', id), hostCount);
    });
    stats?.endedServers.forEach((id) => this.noteEnded(id));
  }

  /** @param id - a life. @returns its load, where it was ever listed for work */
  findLoad(id: string): ServerLoad | undefined {
    return this.#loads.get(id);
  }

  /** @param id - a life whose address has answered as another */
  noteEnded(id: string): void {
    if (this.#directory.find(id)) this.#endedIncarnations.add(id);
    if (this.#directory.noteEnded(id)) this.#handleEnded(id);
  }

  #handleEnded(id: string): void {
    this.#candidateLists.clear();
    this.#options.log.write(LogLevel.Info, 'backend_server_ended', { backendServer: id });
  }

  #getOrCreateLoad(id: string): ServerLoad {
    const existing = this.#loads.get(id);
    if (existing) return existing;
    const entry = this.#directory.find(id);
    const isEngine = entry !== undefined && this.#options.isEngine(entry.serviceId);
    const load = new ServerLoad(entry?.slots ?? 1, isEngine);
    this.#loads.set(id, load);
    return load;
  }

  /**
   * Takes in everything that is registered.
   *
   * @param items - everything that was read
   * @param context - under which circumstances
   */
  applyAll(items: readonly FeedItem[], { wasAway }: FeedContext): void {
    const serverItems = items.filter(({ key }) => key.startsWith(this.#options.prefix));
    const entries = serverItems.flatMap(
      ({ key, value }) => this.#decoder.tryDecode(key, value) ?? [],
    );
    const presentIds = new Set(serverItems.map(({ key }) => this.#decoder.getServerId(key)));
    const nowMs = this.#options.clock.nowMs();
    // A name that stands there without an entry that can be read was overwritten.
    const mayReturn = (serverId: string): boolean => wasAway || presentIds.has(serverId);
    const endedIds = this.#directory.applyAll(entries, nowMs, mayReturn);
    this.#options.log.write(LogLevel.Info, 'backend_servers_read', { count: entries.length });
    this.#endedIncarnations.clearEntries();
    entries.forEach((entry) => {
      this.#endedIncarnations.noteEntry(entry, this.#isRunning(entry.id));
      this.#warmupGuard.noteEntry(entry);
    });
    endedIds.forEach((id) => this.#handleRestart(id));
    this.#refresh();
  }

  /**
   * Takes in changes.
   *
   * @param changes - everything that has changed
   * @param context - under which circumstances
   */
  applyChanges(changes: readonly FeedChange[], { wasAway }: FeedContext): void {
    changes
      .filter(({ key }) => key.startsWith(this.#options.prefix))
      .forEach(({ key, value }) => {
        if (value === undefined) this.#applyRemoval(this.#decoder.getServerId(key), wasAway);
        else this.#applyValue(key, value);
      });
    this.#refresh();
  }

  #applyRemoval(serverId: string, wasAway: boolean): void {
    this.#endedIncarnations.noteEntryRemoved(serverId);
    this.#directory.applyRemoval(serverId, this.#options.clock.nowMs(), wasAway);
    this.#options.log.write(LogLevel.Info, 'backend_server_removed', {
      backendServer: serverId,
      mayHaveLapsed: wasAway,
    });
  }

  /**
   * An entry that can't be read names nobody. The server that stood there before is used
   * for as long as a live one may need to write its own entry again; dropping it at once
   * would let any writer take servers out of service, and keeping it for good would leave
   * hosts that have started since with another belief than the rest.
   */
  #applyValue(key: string, value: Uint8Array): void {
    const nowMs = this.#options.clock.nowMs();
    const entry = this.#decoder.tryDecode(key, value);
    if (!entry) {
      this.#endedIncarnations.noteEntryRemoved(this.#decoder.getServerId(key));
      this.#directory.applyRemoval(this.#decoder.getServerId(key), nowMs, true);
      return;
    }
    const { effect, endedId } = this.#directory.applyEntry(entry, nowMs);
    if (effect !== EntryEffect.None) this.#logEntry(entry, effect);
    if (effect !== EntryEffect.Outdated) this.#warmupGuard.noteEntry(entry);
    this.#endedIncarnations.noteEntry(entry, this.#isRunning(entry.id));
    if (endedId !== undefined) this.#handleRestart(endedId);
  }

  #logEntry({ id, serviceId, isLeaving }: BackendServerEntry, effect: EntryEffect): void {
    const readinessEvent = isLeaving ? 'backend_server_leaving' : 'backend_server_ready';
    const event =
      effect === EntryEffect.Outdated ? 'backend_server_entry_outdated' : readinessEvent;
    this.#options.log.write(LogLevel.Info, event, { backendServer: id, service: serviceId });
  }

  /**
   * Whatever a former life was given ended with it. Its connections may stay silent for
   * long, so the requests that wait there are told.
   */
  #handleRestart(endedId: string): void {
    this.#endedIncarnations.add(endedId);
    this.#handleEnded(endedId);
    this.#restartHandlers.forEach((handler) => handler(endedId));
  }

  #refresh(): void {
    this.#candidateLists.clear();
    const expired = this.#directory.expire(this.#options.clock.nowMs());
    expired.forEach((id) => {
      this.#loads.delete(id);
      this.#warmupGuard.forget(id);
    });
    this.#endedIncarnations.forget(expired);
    this.#changeHandlers.forEach((handler) => handler());
  }
}
