/**
 * Starts the components of an entry host and stops them as planned.
 *
 * @module
 */
import type { AdminListener } from '../adapters/admin_http/mod.js';
import { runPlannedStop } from '../application/entry_host/mod.js';
import { LogLevel } from '../domain/errors/mod.js';
import { createAdminListener } from './_entry_admin.js';
import { createEntryParts } from './_entry_parts.js';
import type { EntryParts } from './_entry_parts.js';
import { registerFaultHandler } from './fault_handler.js';
import type { ProcessSignal } from './process_signals.js';
import type { EntrySettings } from './settings.js';

/** Least time that listeners get to finish their last answers, in milliseconds. */
const CLOSE_TIMEOUT_MS = 2000;

/** One running entry host. */
export class EntryProcess {
  readonly #parts: EntryParts;

  readonly #admin: AdminListener;

  /** @param settings - checked settings */
  constructor(settings: EntrySettings) {
    this.#parts = createEntryParts(settings);
    registerFaultHandler(process, this.#parts);
    this.#admin = createAdminListener(this.#parts);
  }

  /** @param signal - a signal that the process has received */
  logSignal(signal: ProcessSignal): void {
    const uptimeMs = Math.round(performance.now());
    this.#parts.log.write(LogLevel.Info, 'signal_received', { signal, uptimeMs });
  }

  /** Starts every component. The callers' listener starts last, so that each caller is served. */
  async start(): Promise<void> {
    const { settings, peers, configuration, membership, log, turns } = this.#parts;
    const { dispatcher, allowances, owner, crashes, forwardServer, callers, self, late } =
      this.#parts;
    turns.start();
    await peers.start();
    await this.#admin.start(settings.adminListen.host, settings.adminListen.port);
    membership.start();
    configuration.start();
    dispatcher.start();
    allowances.start();
    owner.start();
    crashes.start();
    forwardServer.start();
    await callers.start(settings.listen.host, settings.listen.port);
    late.isListening = true;
    log.write(LogLevel.Info, 'entry_host_started', {
      entryHost: self.id,
      incarnation: self.incarnation,
      url: self.url,
      peerUrl: self.peerUrl,
      strategy: settings.strategy,
    });
  }

  /**
   * Runs a planned stop: drains the callers, waits for running requests, then closes everything.
   *
   * @param whenForced - promise whose fulfilment ends the wait for running requests early
   * @returns whether no running request was cut off
   */
  async stop(whenForced: Promise<void>): Promise<boolean> {
    const { clock, log, owner, membership, callers, settings } = this.#parts;
    const startedAtMs = clock.nowMs();
    const isClean = await runPlannedStop({
      clock,
      log,
      owner,
      announceStop: () => {
        membership.setStopping();
        callers.drain();
      },
      keepAddressMs: settings.keepAddressMs,
      limitMs: settings.stopLimitMs,
      whenForced,
    });
    // Answers that are forwarded for other owners, or that slow callers still read, get the rest
    // of the stop limit. A forced stop grants them only the close timeout.
    const remainingLimitMs = isClean ? settings.stopLimitMs - (clock.nowMs() - startedAtMs) : 0;
    const forcedLimit = whenForced.then(() => this.#waitFor(CLOSE_TIMEOUT_MS));
    const closeLimit = this.#waitFor(Math.max(CLOSE_TIMEOUT_MS, remainingLimitMs));
    await Promise.race([this.#close(), closeLimit, forcedLimit]);
    return isClean;
  }

  async #close(): Promise<void> {
    const { callers, slots, dispatcher, allowances, owner, crashes, configuration, membership } =
      this.#parts;
    await callers.stop();
    slots.stop();
    dispatcher.stop();
    allowances.stop();
    owner.stop();
    crashes.stop();
    membership.stop();
    await Promise.all([
      configuration.stop(),
      this.#parts.peers.close(),
      this.#admin.stop(),
      this.#parts.tracer.stop(),
    ]);
    this.#parts.backend.close();
  }

  #waitFor(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#parts.clock.setTimer(delayMs, resolve);
    });
  }
}
