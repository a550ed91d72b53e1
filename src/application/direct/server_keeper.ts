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
import { EndedLives } from './_ended_lives.js';
import { EntryReader } from './_entry_reader.js';
import type { EntryReaderOptions } from './_entry_reader.js';
import { WarmupGuard } from './_warmup_guard.js';
import type { WarmupGuardOptions } from './_warmup_guard.js';
import { PeerFigureTable } from './_peer_figures.js';
import type { PeerFigures } from './_peer_figures.js';

/** What the keeper needs. */
export interface ServerKeeperOptions extends EntryReaderOptions, WarmupGuardOptions {
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

  readonly #reader: EntryReader;

  readonly #directory = new ServerDirectory();

  readonly #loads = new Map<string, ServerLoad>();

  /** What peers report. */
  readonly peers = new PeerFigureTable();

  readonly #ended = new EndedLives();

  readonly #warmups: WarmupGuard;

  readonly #candidates: CandidateLists;

  readonly #changeHandlers: (() => void)[] = [];

  readonly #restartHandlers: ((endedId: string) => void)[] = [];

  /** @param options - what the keeper needs */
  constructor(options: ServerKeeperOptions) {
    this.#options = options;
    this.#reader = new EntryReader(options);
    this.#warmups = new WarmupGuard(options);
    this.#candidates = new CandidateLists(options.clock, (id) => this.#buildCandidates(id));
  }

  /** Backend servers that warm up. */
  get coldCount(): number {
    return this.#directory.list().filter((entry) => this.#warmups.isCold(entry)).length;
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
    return this.#candidates.take(serviceId);
  }

  #buildCandidates(serviceId: string): readonly Candidate[] {
    const { clock, places, findRegion } = this.#options;
    return this.#directory
      .listUsable(serviceId, clock.nowMs())
      .filter(({ availabilityZone }) => !places.isClosed(availabilityZone))
      .map((entry) => {
        const load = this.#takeLoad(entry.id);
        this.#warmups.update(entry, load);
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
    return zone !== undefined && !this.#options.places.isClosed(zone) && this.#isAlive(id);
  }

  #isAlive(id: string): boolean {
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
    const busy = [...this.#loads].filter(([, { ownInFlight }]) => ownInFlight > 0);
    const counts = Object.fromEntries(busy.map(([id, { ownInFlight }]) => [id, ownInFlight]));
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
    const avoided = [...this.#loads].filter(([, load]) => load.hasFailed(nowMs));
    const counts = Object.fromEntries(avoided.map(([id]) => [id, 1]));
    return this.peers.sum('avoidedBy', counts, sources);
  }

  /** @param serviceId - which service. @returns calls that wait for its slots at peers */
  countWaitingAt(serviceId: string): number {
    return this.peers.getTotal('waitingCalls', serviceId);
  }

  /** @returns lives that are over though entries may not say so */
  listEnded(): readonly string[] {
    return this.#ended.list();
  }

  /**
   * Takes a peer's report.
   *
   * @param source - incarnation of the peer's process
   * @param figures - what it reports; undefined when it is gone
   */
  applyPeer(source: string, figures: PeerFigures | undefined): void {
    this.peers.put(source, figures);
    const hostCount = this.#options.countServing();
    this.#loads.forEach((load, id) => {
      load.setPeersInFlight(this.peers.getTotal('inFlight', id));
      load.setAvoidingHosts(this.peers.getTotal('avoidedBy', id), hostCount);
    });
    figures?.endedServers.forEach((id) => this.noteEnded(id));
  }

  /** @param id - a life. @returns its load, where it was ever listed for work */
  findLoad(id: string): ServerLoad | undefined {
    return this.#loads.get(id);
  }

  /** @param id - a life whose address has answered as another */
  noteEnded(id: string): void {
    if (this.#directory.find(id)) this.#ended.add(id);
    if (this.#directory.noteEnded(id)) this.#logEnded(id);
  }

  #logEnded(id: string): void {
    this.#candidates.clear();
    this.#options.log.write(LogLevel.Info, 'backend_server_ended', { backendServer: id });
  }

  #takeLoad(id: string): ServerLoad {
    const found = this.#loads.get(id);
    if (found) return found;
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
    const own = items.filter(({ key }) => key.startsWith(this.#options.prefix));
    const entries = own.flatMap(({ key, value }) => this.#reader.read(key, value) ?? []);
    const names = new Set(own.map(({ key }) => this.#reader.readName(key)));
    const nowMs = this.#options.clock.nowMs();
    // A name that stands there without an entry that can be read was overwritten.
    const mayBeBack = (serverId: string): boolean => wasAway || names.has(serverId);
    const endedIds = this.#directory.applyAll(entries, nowMs, mayBeBack);
    this.#options.log.write(LogLevel.Info, 'backend_servers_read', { count: entries.length });
    this.#ended.clearListed();
    entries.forEach((entry) => {
      this.#ended.noteListed(entry, this.#isAlive(entry.id));
      this.#warmups.noteEntry(entry);
    });
    endedIds.forEach((id) => this.#noteRestart(id));
    this.#update();
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
        if (value === undefined) this.#applyRemoval(this.#reader.readName(key), wasAway);
        else this.#applyValue(key, value);
      });
    this.#update();
  }

  #applyRemoval(serverId: string, wasAway: boolean): void {
    this.#ended.noteUnlisted(serverId);
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
    const entry = this.#reader.read(key, value);
    if (!entry) {
      this.#ended.noteUnlisted(this.#reader.readName(key));
      this.#directory.applyRemoval(this.#reader.readName(key), nowMs, true);
      return;
    }
    const { effect, endedId } = this.#directory.applyEntry(entry, nowMs);
    if (effect !== EntryEffect.None) this.#logEntry(entry, effect);
    if (effect !== EntryEffect.Outdated) this.#warmups.noteEntry(entry);
    this.#ended.noteListed(entry, this.#isAlive(entry.id));
    if (endedId !== undefined) this.#noteRestart(endedId);
  }

  #logEntry({ id, serviceId, isLeaving }: BackendServerEntry, effect: EntryEffect): void {
    const word = isLeaving ? 'backend_server_leaving' : 'backend_server_ready';
    const event = effect === EntryEffect.Outdated ? 'backend_server_entry_outdated' : word;
    this.#options.log.write(LogLevel.Info, event, { backendServer: id, service: serviceId });
  }

  /**
   * Whatever a former life was given ended with it. Its connections may stay silent for
   * long, so the requests that wait there are told.
   */
  #noteRestart(endedId: string): void {
    this.#ended.add(endedId);
    this.#logEnded(endedId);
    this.#restartHandlers.forEach((handler) => handler(endedId));
  }

  #update(): void {
    this.#candidates.clear();
    const expired = this.#directory.expire(this.#options.clock.nowMs());
    expired.forEach((id) => {
      this.#loads.delete(id);
      this.#warmups.forget(id);
    });
    this.#ended.forget(expired);
    this.#changeHandlers.forEach((handler) => handler());
  }
}
