/**
 * Applies what the store holds of the backend servers.
 *
 * @module
 */
import { EntryEffect } from '../../domain/backend_servers/mod.js';
import type { BackendServerEntry, ServerDirectory } from '../../domain/backend_servers/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import type { VersionHistory } from '../../domain/streams/mod.js';
import type { Clock, FeedChange, FeedItem } from '../../ports/mod.js';
import type { EndedIncarnations } from './_ended_incarnations.js';
import { logEntryChange } from './_entry_log.js';
import { EntryReader } from './_entry_reader.js';
import type { EntryReaderOptions } from './_entry_reader.js';
import type { LeavingIncarnations } from './_leaving_incarnations.js';
import type { WarmupTracker } from './_warmup_tracker.js';
import type { FeedContext, SnapshotContext } from './feed_update.js';

/** Where entries are read from, and what they change. */
export interface EntryApplierOptions extends EntryReaderOptions {
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly ended: EndedIncarnations;
  readonly leaving: LeavingIncarnations;
  readonly warmups: WarmupTracker;
  readonly versions: VersionHistory;
}

/** Applies full reads and changes of the store to the directory of backend servers. */
export class EntryApplier {
  readonly #options: EntryApplierOptions;

  readonly #reader: EntryReader;

  /** @param options - where entries are read from, and what they change */
  constructor(options: EntryApplierOptions) {
    this.#options = options;
    this.#reader = new EntryReader(options);
  }

  /**
   * Applies a full read of the store.
   *
   * @param items - all items that were read
   * @param context - circumstances of the read
   * @returns incarnations that the entries show to have ended
   */
  applySnapshot(
    items: readonly FeedItem[],
    { wasAway, isRestored }: SnapshotContext,
  ): readonly string[] {
    const { prefix, clock, directory, ended, log, warmups } = this.#options;
    const serverItems = items.filter(({ key }) => key.startsWith(prefix));
    const entries = serverItems.flatMap(({ key, value }) => this.#reader.read(key, value) ?? []);
    const presentIds = new Set(serverItems.map(({ key }) => this.#reader.getServerId(key)));
    // A name whose value can't be decoded was overwritten, so its server may still be running.
    const mayReturn = (serverId: string): boolean => wasAway || presentIds.has(serverId);
    const endedIds = directory.replaceAll(entries, clock.nowMs(), mayReturn, isRestored);
    log.write(LogLevel.Info, 'backend_servers_read', { count: entries.length });
    ended.clearEntries();
    this.#options.versions.restart(clock.nowMs());
    entries.forEach((entry) => {
      this.#options.versions.recordEntry(entry, clock.nowMs());
      this.#recordEntryState(entry);
      warmups.recordEntry(entry);
    });
    return endedIds;
  }

  /**
   * Applies changes.
   *
   * @param changes - all changes of the store
   * @param context - circumstances of the read
   * @param onEnded - called with each incarnation that a change shows to have ended
   */
  applyChanges(
    changes: readonly FeedChange[],
    { wasAway, isCondensed }: FeedContext,
    onEnded: (id: string) => void,
  ): void {
    if (isCondensed === true) this.#options.versions.restart(this.#options.clock.nowMs());
    changes
      .filter(({ key }) => key.startsWith(this.#options.prefix))
      .forEach(({ key, value }) => {
        if (value === undefined) this.#applyRemoval(this.#reader.getServerId(key), wasAway);
        else this.#applyValue(key, value, onEnded);
      });
  }

  /** @returns incarnations that are removed now, since their entries are gone or superseded */
  removeExpired(): readonly string[] {
    const { clock, directory, ended, warmups } = this.#options;
    const nowMs = clock.nowMs();
    const expired = directory.removeExpired(nowMs);
    expired.forEach((entry) => {
      this.#options.versions.recordEntry(entry, nowMs);
      warmups.forget(entry.id);
    });
    const ids = expired.map(({ id }) => id);
    ended.forget(ids);
    return ids;
  }

  #applyRemoval(serverId: string, wasAway: boolean): void {
    const { clock, directory, ended, log } = this.#options;
    ended.recordRemoval(serverId);
    directory.applyRemoval(serverId, clock.nowMs(), wasAway);
    log.write(LogLevel.Info, 'backend_server_removed', {
      backendServer: serverId,
      mayHaveLapsed: wasAway,
    });
  }

  /**
   * Applies a written value. A value that can't be decoded identifies no server; the server that
   * was registered there stays in use only for as long as a live one may need to rewrite its
   * entry. Dropping it at once would let any writer take servers out of service, and keeping it
   * forever would leave this host with another state than hosts that start later.
   */
  #applyValue(key: string, value: Uint8Array, onEnded: (id: string) => void): void {
    const { clock, directory, ended, log, warmups } = this.#options;
    const nowMs = clock.nowMs();
    const entry = this.#reader.read(key, value);
    if (!entry) {
      const serverId = this.#reader.getServerId(key);
      ended.recordRemoval(serverId);
      directory.applyRemoval(serverId, nowMs, true);
      return;
    }
    this.#options.versions.recordEntry(entry, nowMs);
    const { effect, endedId } = directory.applyEntry(entry, nowMs);
    if (effect !== EntryEffect.None) logEntryChange(log, entry, effect);
    if (effect !== EntryEffect.Outdated) warmups.recordEntry(entry);
    this.#recordEntryState(entry);
    if (endedId !== undefined) onEnded(endedId);
  }

  #recordEntryState(entry: BackendServerEntry): void {
    const { clock, directory, ended, leaving } = this.#options;
    const nowMs = clock.nowMs();
    const isExplained = directory.isHeldBack(entry.id, nowMs) || leaving.has(entry.id);
    ended.recordEntry(entry, isExplained || directory.isUsable(entry.id, nowMs));
  }
}
