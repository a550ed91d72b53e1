/**
 * Declares the flags of `monsoonhall entry`, one for each row of the setting table.
 *
 * @module
 */
import { Command, Option } from 'clipanion';
import { ENTRY_SETTING_TABLE } from './_entry_setting_table.js';
import type { EntrySettingName, SettingRow } from './_entry_setting_table.js';
import { formatFlag, formatVariable } from './settings.js';
import type { EntryFlags } from './settings.js';

function createFlag(name: EntrySettingName): string | undefined {
  const { description, fallback }: SettingRow<unknown> = ENTRY_SETTING_TABLE[name];
  const defaultNote = fallback ? `; default ${fallback}` : '';
  return Option.String(formatFlag(name), {
    description: `${description}${defaultNote} (${formatVariable(name)})`,
  });
}

/** Base class of the `entry` command that declares every flag of the entry host. */
export abstract class EntryOptions extends Command {
  id = createFlag('id');

  availabilityZone = createFlag('availabilityZone');

  listen = createFlag('listen');

  advertise = createFlag('advertise');

  peerListen = createFlag('peerListen');

  peerAdvertise = createFlag('peerAdvertise');

  adminListen = createFlag('adminListen');

  adminKey = createFlag('adminKey');

  clusterKey = createFlag('clusterKey');

  configurationUrl = createFlag('configurationUrl');

  hostListUrl = createFlag('hostListUrl');

  peers = createFlag('peers');

  tlsCertificate = createFlag('tlsCertificate');

  tlsKey = createFlag('tlsKey');

  logLevel = createFlag('logLevel');

  traceFile = createFlag('traceFile');

  otlpUrl = createFlag('otlpUrl');

  requestIdLifetimeMs = createFlag('requestIdLifetimeMs');

  keepAddressMs = createFlag('keepAddressMs');

  answerBytes = createFlag('answerBytes');

  answerKeepMs = createFlag('answerKeepMs');

  stopLimitMs = createFlag('stopLimitMs');

  platformWaitMs = createFlag('platformWaitMs');

  heartbeatMs = createFlag('heartbeatMs');

  suspectAfterMs = createFlag('suspectAfterMs');

  maxBodyBytes = createFlag('maxBodyBytes');

  maxConnections = createFlag('maxConnections');

  memoryMb = createFlag('memoryMb');

  headerTimeoutMs = createFlag('headerTimeoutMs');

  requestTimeoutMs = createFlag('requestTimeoutMs');

  reserveFraction = createFlag('reserveFraction');

  strategy = createFlag('strategy');

  /** @returns the flag values as they were given, for `parseEntrySettings` */
  protected readFlags(): EntryFlags {
    const names = Object.keys(ENTRY_SETTING_TABLE) as EntrySettingName[];
    return Object.fromEntries(names.map((name) => [name, this[name]]));
  }
}
