/**
 * Defines the errors for settings that can't be used, and the exit code for them.
 *
 * @module
 */

/** Exit code of a command whose settings or arguments are invalid. */
export const SETTINGS_EXIT_CODE = 2;

/** Reports invalid settings, with every fault that was found. */
export class SettingsError extends Error {
  override readonly name: string = 'SettingsError';

  /** @param faults - one line for each fault; no line contains a key */
  constructor(readonly faults: readonly string[]) {
    super(`Cannot use these settings: ${faults.join('; ')}`);
  }
}

/** Reports settings that can't be read at present: the file is missing, or is being written. */
export class UnreadableSettingsError extends SettingsError {
  override readonly name = 'UnreadableSettingsError';
}
