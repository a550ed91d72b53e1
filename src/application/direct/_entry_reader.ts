/**
 * Reads backend servers' entries out of the store's keys and values.
 *
 * @module
 */
import type { BackendServerEntry } from '../../domain/backend_servers/mod.js';
import { formatReason, LogLevel } from '../../domain/errors/mod.js';
import type { EventLog, Metrics } from '../../ports/mod.js';

/** What the reader needs. */
export interface EntryDecoderOptions {
  /** Start of the keys under which backend servers are registered. */
  readonly prefix: string;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /**
   * Decodes a registration.
   *
   * @throws Error for one that can't be used
   */
  readonly decode: (key: string, value: Uint8Array) => BackendServerEntry;
}

/** Decodes entries, and tells of those that can't be read. */
export class EntryDecoder {
  readonly #options: EntryDecoderOptions;

  /** @param options - what the reader needs */
  constructor(options: EntryDecoderOptions) {
    this.#options = options;
  }

  /** @param key - key of an entry. @returns the name that it stands under */
  getServerId(key: string): string {
    return key.slice(this.#options.prefix.length);
  }

  /** @param key - key of an entry. @param value - what is written. @returns undefined for what can't be read */
  tryDecode(key: string, value: Uint8Array): BackendServerEntry | undefined {
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
