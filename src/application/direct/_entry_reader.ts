/**
 * Decodes backend server entries from the store's keys and values.
 *
 * @module
 */
import type { BackendServerEntry } from '../../domain/backend_servers/mod.js';
import { formatReason, LogLevel } from '../../domain/errors/mod.js';
import type { EventLog, Metrics } from '../../ports/mod.js';

/** Dependencies and settings of an {@link EntryDecoder}. */
export interface EntryReaderOptions {
  /** Prefix of the keys under which backend servers are registered. */
  readonly prefix: string;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /**
   * Decodes a registration.
   *
   * @throws Error when the registration can't be used
   */
  readonly decode: (key: string, value: Uint8Array) => BackendServerEntry;
}

/** Decodes entries, and logs and counts those that can't be decoded. */
export class EntryReader {
  readonly #options: EntryReaderOptions;

  /** @param options - dependencies and settings */
  constructor(options: EntryReaderOptions) {
    this.#options = options;
  }

  /** @param key - key of an entry. @returns ID of the server that it registers */
  getServerId(key: string): string {
    return key.slice(this.#options.prefix.length);
  }

  /**
   * Decodes an entry, and logs and counts it if it can't be decoded.
   *
   * @param key - key of the entry
   * @param value - value of the entry
   * @returns the entry; undefined if it can't be decoded
   */
  read(key: string, value: Uint8Array): BackendServerEntry | undefined {
    const { decode, log, metrics } = this.#options;
    try {
      return decode(key, value);
    } catch (error) {
      const reason = formatReason(error);
      log.write(LogLevel.Error, 'backend_server_entry_refused', { entry: key, reason });
      metrics.count('backend_server_entries_refused_total');
      return undefined;
    }
  }
}
