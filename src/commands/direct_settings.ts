/**
 * Settings of an entry host for calls that bear their own request ID.
 *
 * @module
 */
import { readFileSync } from 'node:fs';
import * as z from 'zod';
import { formatReason } from '../domain/errors/mod.js';
import { SettingsError } from './settings_error.js';

/** Environment variable that names the settings file. */
export const DIRECT_SETTINGS_VARIABLE = 'MONSOONHALL_CONFIG';

const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'expected an IP number and a port');
const positive = z.number().positive();

/** Shortest shared secret, in characters: 128 bits in hexadecimal. */
const MIN_SECRET_LENGTH = 32;

const settingsSchema = z.object({
  /** Name of this entry host; the same after a restart. */
  hostId: z.string().min(1),
  ip: z.ipv4(),
  availabilityZone: z.string().default(''),
  /** Region of each availability zone. */
  zoneRegions: z.record(z.string(), z.string()).default({}),
  /** Where callers connect. */
  callersAddress: address,
  /** Where the platform asks whether this entry host is ready. */
  readinessAddress: address,
  /** Where peers connect. */
  peersAddress: address,
  /** Where peers are told to connect, if that isn't the same: behind a forwarded port. */
  advertisedPeersAddress: address.optional(),
  /** Secret that all entry hosts share; without it, one made of the store's address. */
  peersSecret: z.string().min(MIN_SECRET_LENGTH).optional(),
  /** Where callers ask for the addresses to use. */
  addressBookAddress: address,
  /** Peers to begin with; they may be gone. */
  seedPeerAddresses: z.array(address).default([]),
  /** Where the shared store is. */
  storeAddress: address,
  /** Part of a processor core that this process may use. */
  coreShare: positive,
  /** Speed of that core, as a multiple of the usual one. */
  coreSpeed: positive,
  /** Time from the signal to stop to the end of the process, in seconds. */
  stopLimitS: positive,
  /** Time after which a key that was taken away must not be served anywhere, in milliseconds. */
  keyRevocationMs: positive,
  /** Time after which a published configuration must be in force, in milliseconds. */
  configurationApplyMs: positive,
  /** Longest time for which callers may keep addresses, in seconds. */
  maxAddressLifeS: positive,
  /** Retries that a service may be given for each first attempt, over all entry hosts. */
  retryRatio: z.number().nonnegative(),
  /** Retries beside those in one window. */
  retrySlack: z.number().nonnegative(),
  /** Length of that window in seconds. */
  retryWindowS: positive,
  /** Factor by which the rate that a cold backend server bears may be passed, over all entry hosts. */
  warmupFactor: z.number().min(1).default(1),
  /** Requests that may reach it beside that in any second. */
  warmupSlack: z.number().nonnegative().default(0),
});

/** Checked settings. */
export type DirectSettings = z.infer<typeof settingsSchema>;

/**
 * Checks settings.
 *
 * @param text - the file's content, in JSON
 * @returns the settings
 * @throws SettingsError with every fault, one line each
 */
export function parseDirectSettings(text: string): DirectSettings {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw new SettingsError([`settings file: ${formatReason(error)}`]);
  }
  const result = settingsSchema.safeParse(value);
  if (result.success) return result.data;
  throw new SettingsError(
    result.error.issues.map(({ path, message }) => `settings file: ${path.join('.')}: ${message}`),
  );
}

/**
 * Reads and checks the settings file.
 *
 * @param env - environment variables; one names the file
 * @returns the settings
 * @throws SettingsError with every fault, one line each
 */
export function readDirectSettings(env: NodeJS.ProcessEnv): DirectSettings {
  const path = env[DIRECT_SETTINGS_VARIABLE];
  if (!path) throw new SettingsError([`${DIRECT_SETTINGS_VARIABLE}: it must name a settings file`]);
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    throw new SettingsError([`settings file: ${formatReason(error)}`]);
  }
  return parseDirectSettings(text);
}
