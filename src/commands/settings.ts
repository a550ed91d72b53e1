/**
 * Reads and checks the settings of `monsoonhall entry`, all at once.
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

type Table = typeof ENTRY_SETTING_TABLE;

type SettingValue<Row> = Row extends { schema: z.ZodType<infer T> }
  ? Row extends { optional: true }
    ? T | undefined
    : T
  : never;

/**
 * Checked settings of an entry host; the names are those of the flags, in camel case.
 * `tlsCertificate` and `tlsKey` hold the files' text.
 */
export type EntrySettings = { readonly [Name in EntrySettingName]: SettingValue<Table[Name]> };

/** Texts of the flags as they were given. */
export type EntryFlags = Readonly<Partial<Record<EntrySettingName, string | undefined>>>;

/**
 * Formats a setting's name as its flag.
 *
 * @param name - in camel case, such as `peerListen`
 * @returns such as `--peer-listen`
 */
export function formatFlag(name: string): string {
  return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

/**
 * Formats a setting's name as its environment variable.
 *
 * @param name - in camel case, such as `peerListen`
 * @returns such as `MONSOONHALL_PEER_LISTEN`
 */
export function formatVariable(name: string): string {
  return `${ENVIRONMENT_PREFIX}${name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`;
}

function formatSource(name: string): string {
  return `${formatFlag(name)} (${formatVariable(name)})`;
}

/** The flag goes first; an empty environment variable counts as none. */
function findText(
  name: EntrySettingName,
  flags: EntryFlags,
  env: NodeJS.ProcessEnv,
): string | undefined {
  const row: SettingRow<unknown> = ENTRY_SETTING_TABLE[name];
  const variable = env[formatVariable(name)];
  return flags[name] ?? (variable === '' ? undefined : variable) ?? row.fallback;
}

/** Checks what one setting alone can't tell. */
function listConflicts(settings: Partial<EntrySettings>): string[] {
  const conflicts: string[] = [];
  const note = (name: EntrySettingName, reason: string): void => {
    conflicts.push(`${formatSource(name)}: ${reason}`);
  };
  const { listen, peerListen, heartbeatMs, suspectAfterMs, keepAddressMs, stopLimitMs } = settings;
  if (settings.tlsCertificate !== undefined && settings.tlsKey === undefined)
    note('tlsKey', 'it must be given together with --tls-certificate');
  if (settings.tlsKey !== undefined && settings.tlsCertificate === undefined)
    note('tlsCertificate', 'it must be given together with --tls-key');
  if (settings.tlsCertificate !== undefined && settings.tlsKey !== undefined) {
    const fault = checkCertificate(settings.tlsCertificate, settings.tlsKey);
    if (fault !== undefined) note('tlsCertificate', fault);
  }
  if (listen && isWildcard(listen.host) && settings.advertise === undefined)
    note('advertise', '--listen names no single address, so this must be given');
  if (peerListen && isWildcard(peerListen.host) && settings.peerAdvertise === undefined)
    note('peerAdvertise', '--peer-listen names no single address, so this must be given');
  // A peer that is suspected before two heartbeats could come would flap at each lost one.
  if (heartbeatMs !== undefined && suspectAfterMs !== undefined && suspectAfterMs < 2 * heartbeatMs)
    note('suspectAfterMs', `expected at least twice --heartbeat-ms (${heartbeatMs})`);
  // A stop that ends while callers still hold the address would turn them away at a closed port.
  if (keepAddressMs !== undefined && stopLimitMs !== undefined && stopLimitMs < keepAddressMs)
    note('stopLimitMs', `expected at least --keep-address-ms (${keepAddressMs})`);
  if (
    settings.headerTimeoutMs !== undefined &&
    settings.requestTimeoutMs !== undefined &&
    settings.requestTimeoutMs < settings.headerTimeoutMs
  )
    note('requestTimeoutMs', `expected at least --header-timeout-ms (${settings.headerTimeoutMs})`);
  return conflicts;
}

/** A wrong pair would otherwise show only when the first caller connects. */
function checkCertificate(cert: string, key: string): string | undefined {
  try {
    createSecureContext({ cert, key });
    return undefined;
  } catch {
    return 'expected a certificate that fits --tls-key';
  }
}

function isWildcard(host: string): boolean {
  return host === '0.0.0.0' || host === '::';
}

/**
 * Reads every setting, from its flag or else from its environment variable, and checks all of them.
 *
 * @param flags - texts of the flags that were given
 * @param env - environment variables, such as `MONSOONHALL_LISTEN`
 * @returns the settings
 * @throws SettingsError with every fault, one line each
 */
export function parseEntrySettings(flags: EntryFlags, env: NodeJS.ProcessEnv): EntrySettings {
  const faults: string[] = [];
  const settings: Record<string, unknown> = {};
  Object.entries<SettingRow<unknown>>(ENTRY_SETTING_TABLE).forEach(([name, row]) => {
    const text = findText(name as EntrySettingName, flags, env);
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
