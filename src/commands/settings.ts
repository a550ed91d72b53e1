/**
 * Reads and checks the settings of `monsoonhall entry` and reports every fault together.
 *
 * ```ts
 * const settings = parseEntrySettings({ listen: '127.0.0.1:8080' }, process.env);
 * ```
 *
 * @module
 */
import { createSecureContext } from 'node:tls';
import type { z } from 'zod';
import { ENTRY_SETTING_TABLE } from './_entry_setting_table.js';
import type { EntrySettingName, SettingRow } from './_entry_setting_table.js';
import { SettingsError } from './settings_error.js';

export type { EntrySettingName } from './_entry_setting_table.js';
export { SETTINGS_EXIT_CODE, SettingsError } from './settings_error.js';
export type { ListenAddress } from './_setting_schemas.js';

const ENVIRONMENT_PREFIX = 'MONSOONHALL_';

type SettingTable = typeof ENTRY_SETTING_TABLE;

type SettingValue<Row> = Row extends { schema: z.ZodType<infer T> }
  ? Row extends { optional: true }
    ? T | undefined
    : T
  : never;

/**
 * Checked settings of an entry host. The names are those of the flags, in camel case.
 * `tlsCertificate` and `tlsKey` hold the text of the files, not their paths.
 */
export type EntrySettings = {
  readonly [Name in EntrySettingName]: SettingValue<SettingTable[Name]>;
};

/** Flag values as they were given, before any check. */
export type EntryFlags = Readonly<Partial<Record<EntrySettingName, string | undefined>>>;

/**
 * Formats a setting's name as its flag.
 *
 * @param name - name of the setting in camel case, such as `peerListen`
 * @returns the flag, such as `--peer-listen`
 */
export function formatFlag(name: string): string {
  return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

/**
 * Formats a setting's name as its environment variable.
 *
 * @param name - name of the setting in camel case, such as `peerListen`
 * @returns the environment variable, such as `MONSOONHALL_PEER_LISTEN`
 */
export function formatVariable(name: string): string {
  return `${ENVIRONMENT_PREFIX}${name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`;
}

function formatSource(name: string): string {
  return `${formatFlag(name)} (${formatVariable(name)})`;
}

/** Prefers the flag to the environment variable, and treats an empty variable as not set. */
function resolveText(
  name: EntrySettingName,
  flags: EntryFlags,
  env: NodeJS.ProcessEnv,
): string | undefined {
  const row: SettingRow<unknown> = ENTRY_SETTING_TABLE[name];
  const variable = env[formatVariable(name)];
  return flags[name] ?? (variable === '' ? undefined : variable) ?? row.fallback;
}

/** Lists faults that involve more than one setting. */
function listConflicts(settings: Partial<EntrySettings>): string[] {
  const conflicts: string[] = [];
  const addConflict = (name: EntrySettingName, reason: string): void => {
    conflicts.push(`${formatSource(name)}: ${reason}`);
  };
  const { listen, peerListen, heartbeatMs, suspectAfterMs, keepAddressMs, stopLimitMs } = settings;
  if (settings.tlsCertificate !== undefined && settings.tlsKey === undefined)
    addConflict('tlsKey', 'it must be given together with --tls-certificate');
  if (settings.tlsKey !== undefined && settings.tlsCertificate === undefined)
    addConflict('tlsCertificate', 'it must be given together with --tls-key');
  if (settings.tlsCertificate !== undefined && settings.tlsKey !== undefined) {
    const fault = findCertificateFault(settings.tlsCertificate, settings.tlsKey);
    if (fault !== undefined) addConflict('tlsCertificate', fault);
  }
  if (listen && isWildcard(listen.host) && settings.advertise === undefined)
    addConflict('advertise', '--listen names no single address, so this must be given');
  if (peerListen && isWildcard(peerListen.host) && settings.peerAdvertise === undefined)
    addConflict('peerAdvertise', '--peer-listen names no single address, so this must be given');
  // With a timeout below two heartbeats, each lost heartbeat would make a live peer suspected.
  if (heartbeatMs !== undefined && suspectAfterMs !== undefined && suspectAfterMs < 2 * heartbeatMs)
    addConflict('suspectAfterMs', `expected at least twice --heartbeat-ms (${heartbeatMs})`);
  // If the stop ended while callers keep this address, they would connect to a closed port.
  if (keepAddressMs !== undefined && stopLimitMs !== undefined && stopLimitMs < keepAddressMs)
    addConflict('stopLimitMs', `expected at least --keep-address-ms (${keepAddressMs})`);
  if (
    settings.headerTimeoutMs !== undefined &&
    settings.requestTimeoutMs !== undefined &&
    settings.requestTimeoutMs < settings.headerTimeoutMs
  )
    addConflict(
      'requestTimeoutMs',
      `expected at least --header-timeout-ms (${settings.headerTimeoutMs})`,
    );
  return conflicts;
}

/** Detects a mismatched key pair at the start instead of at the first connection of a caller. */
function findCertificateFault(certificate: string, key: string): string | undefined {
  try {
    createSecureContext({ cert: certificate, key });
    return undefined;
  } catch {
    return 'expected a certificate that fits --tls-key';
  }
}

function isWildcard(host: string): boolean {
  return host === '0.0.0.0' || host === '::';
}

/**
 * Reads each setting from its flag, its environment variable or its default, and checks all of
 * them.
 *
 * @param flags - flag values as they were given
 * @param env - environment variables, such as `MONSOONHALL_LISTEN`
 * @returns the checked settings
 * @throws SettingsError with one line for each fault
 */
export function parseEntrySettings(flags: EntryFlags, env: NodeJS.ProcessEnv): EntrySettings {
  const faults: string[] = [];
  const settings: Record<string, unknown> = {};
  Object.entries<SettingRow<unknown>>(ENTRY_SETTING_TABLE).forEach(([name, row]) => {
    const text = resolveText(name as EntrySettingName, flags, env);
    if (text === undefined) {
      if (!row.optional) faults.push(`${formatSource(name)}: it must be given`);
      return;
    }
    const result = row.schema.safeParse(text);
    if (result.success) settings[name] = result.data;
    else faults.push(`${formatSource(name)}: ${result.error.issues[0]?.message ?? 'invalid'}`);
  });
  faults.push(...listConflicts(settings));
  if (faults.length > 0) throw new SettingsError(faults);
  return settings as EntrySettings;
}
