/**
 * Reads the settings file of an entry host, and waits while it is missing or being written.
 *
 * @module
 */
import { LogLevel } from '../domain/errors/mod.js';
import type { Clock, EventLog } from '../ports/mod.js';
import type { DirectSettings } from './direct_settings.js';
import { UnreadableSettingsError } from './settings_error.js';

/** Pause between two attempts, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** One in so many attempts is logged: one a second. */
const ATTEMPTS_PER_LINE = 10;

/** Time after which the file is not expected to become readable, in milliseconds. */
const WAIT_LIMIT_MS = 10_000;

/** Dependencies of {@link waitForSettings}. */
export interface SettingsSource {
  readonly clock: Clock;
  readonly log: EventLog;
  /** @returns the checked settings; throws a SettingsError */
  readonly read: () => DirectSettings;
}

/**
 * Reads the settings, and tries again while the file can't be read. Whoever writes the file may do so
 * at any moment, also while it is read.
 *
 * @param source - how to read the settings
 * @returns the checked settings
 * @throws SettingsError at once for settings that are whole and invalid, and after the time limit for
 *   a file that can't be read
 */
export async function waitForSettings({
  clock,
  log,
  read,
}: SettingsSource): Promise<DirectSettings> {
  const giveUpAtMs = clock.nowMs() + WAIT_LIMIT_MS;
  for (let attempt = 0; ; attempt += 1) {
    try {
      return read();
    } catch (error) {
      const mayPass = error instanceof UnreadableSettingsError && clock.nowMs() < giveUpAtMs;
      if (!mayPass) throw error;
      if (attempt % ATTEMPTS_PER_LINE === 0) {
        log.write(LogLevel.Warn, 'settings_delayed', { reason: error.faults.join('; ') });
      }
    }
    await waitForRetry(clock);
  }
}

function waitForRetry(clock: Clock): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(RETRY_DELAY_MS, resolve);
  });
}
