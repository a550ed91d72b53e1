/**
 * Settings that cannot be used.
 *
 * @module
 */

/** Exit code of a command that was given settings it cannot use. */
export const SETTINGS_EXIT_CODE = 2;

/** Settings that cannot be used, with every fault that was found. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  /** @param faults - one line a fault; none of them shows a key */
  constructor(readonly faults: readonly string[]) {
    super(`Cannot use these settings: ${faults.join('; ')}`);
  }
}
