/**
 * Defines the error for invalid settings and the exit code for it.
 *
 * @module
 */

/** Exit code of a command whose settings or arguments are invalid. */
export const SETTINGS_EXIT_CODE = 2;

/** Reports invalid settings, with every fault that was found. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  /** @param faults - one line for each fault; no line contains a key */
  constructor(readonly faults: readonly string[]) {
    super(`Cannot use these settings: ${faults.join('; ')}`);
  }
}
