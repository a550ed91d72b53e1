/**
 * Reads and checks the settings of an entry host whose calls carry their own request ID.
 *
 * @module
 */
import { readFileSync } from 'node:fs';
import * as z from 'zod';
import { formatReason } from '../domain/errors/mod.js';
import { parseReplaceable } from './_replaceable_settings.js';
import type { SettingsReport } from './_replaceable_settings.js';
import { SettingsError, UnreadableSettingsError } from './settings_error.js';

/** Environment variable that names the settings file. */
export const DIRECT_SETTINGS_VARIABLE = 'MONSOONHALL_CONFIG';

const MAX_PORT = 65_535;

const addressSchema = z
  .string()
  .refine(hasIp, { error: 'expected an IP number and a port', abort: true })
  .refine((address) => Number(address.split(':')[1]) <= MAX_PORT, 'the port is out of range');
const positiveSchema = z.number().positive();

/** Shortest shared secret, in characters: 128 bits in hexadecimal. */
const MIN_SECRET_LENGTH = 32;

const settingsSchema = z.object({
  /** Name of this entry host, which stays the same after a restart. */
  hostId: z.string().min(1),
  ip: z.ipv4(),
  availabilityZone: z.string().default(''),
  /** Whether waiting calls get slots by fair shares of their client accounts. */
  hasFairShares: z.boolean().default(false),
  /** Whether this entry host rejects new calls early while it lacks processor time. */
  hasEarlyRejections: z.boolean().default(false),
  /** Region of each availability zone. */
  zoneRegions: z.record(z.string(), z.string()).default({}),
  /** Address that callers connect to. */
  callersAddress: addressSchema,
  /** Address at which the platform checks whether this entry host is ready. */
  readinessAddress: addressSchema,
  /** Address that peers connect to. */
  peersAddress: addressSchema,
  /** Address announced to peers if it differs from `peersAddress`, as behind a forwarded port. */
  advertisedPeersAddress: addressSchema.optional(),
  /** Secret that all entry hosts share. By default it is derived from the store's address. */
  peersSecret: z.string().min(MIN_SECRET_LENGTH).optional(),
  /** Address at which callers ask which entry hosts to use. */
  addressBookAddress: addressSchema,
  /** Addresses of the first peers to connect to; some of them may no longer exist. */
  seedPeerAddresses: z.array(addressSchema).default([]),
  /** Address of the shared store. */
  storeAddress: addressSchema,
  /** Fraction of a processor core that this process may use. */
  coreShare: positiveSchema.default(1),
  /** Speed of that core relative to a standard core. */
  coreSpeed: positiveSchema.default(1),
  /** Memory beyond which this process is ended, in megabytes. */
  memoryMb: positiveSchema.optional(),
  /** Most files and sockets that this process may have open. */
  maxDescriptors: positiveSchema.optional(),
  /** Longest time from the stop signal to the end of the process, in seconds. */
  stopLimitS: positiveSchema.default(5),
  /** Time after which no entry host may accept a revoked key, in milliseconds. */
  keyRevocationMs: positiveSchema.default(5_000),
  /** Time after which a published configuration must be in effect, in milliseconds. */
  configurationApplyMs: positiveSchema.default(2_000),
  /** Longest time for which callers may keep the addresses they received, in seconds. */
  maxAddressLifeS: positiveSchema.default(2),
  /** Retries that a service may receive per first attempt, summed over all entry hosts. */
  retryRatio: z.number().nonnegative().default(0.1),
  /** Retries that a service may receive in one window in addition to that ratio. */
  retrySlack: z.number().nonnegative().default(0),
  /** Length of the retry window, in seconds. */
  retryWindowS: positiveSchema.default(10),
  /**
   * Factor by which the request rate of all entry hosts together may exceed the rate that a cold
   * backend server can handle.
   */
  warmupFactor: z.number().min(1).default(1),
  /** Requests that may reach a cold backend server in any second in addition to that rate. */
  warmupSlack: z.number().nonnegative().default(0),
});

/** A secret that differs from that of the other hosts would separate this host from them. */
const IRREPLACEABLE: ReadonlySet<string> = new Set(['peersSecret']);

/** Checked settings. */
export type DirectSettings = z.infer<typeof settingsSchema>;

/**
 * Parses and checks settings. Where the host can run without a value, an invalid one is left out.
 *
 * @param text - content of the settings file, in JSON
 * @param report - receives what was left out
 * @returns the checked settings
 * @throws SettingsError with every fault, one line each; UnreadableSettingsError for text that isn't
 *   whole JSON, as while the file is being written
 */
export function parseDirectSettings(
  text: string,
  report: SettingsReport = () => undefined,
): DirectSettings {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw new UnreadableSettingsError([`settings file: ${formatReason(error)}`]);
  }
  return parseReplaceable({ schema: settingsSchema, irreplaceable: IRREPLACEABLE }, value, report);
}

/**
 * Reads and checks the settings file.
 *
 * @param env - environment variables, of which `MONSOONHALL_CONFIG` names the file
 * @param report - receives what was left out of the settings
 * @returns the checked settings
 * @throws SettingsError with every fault, one line each; UnreadableSettingsError for a file that is
 *   missing or not whole
 */
export function readDirectSettings(
  env: NodeJS.ProcessEnv,
  report: SettingsReport = () => undefined,
): DirectSettings {
  const path = env[DIRECT_SETTINGS_VARIABLE];
  if (!path) throw new SettingsError([`${DIRECT_SETTINGS_VARIABLE}: it must name a settings file`]);
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    throw new UnreadableSettingsError([`settings file: ${formatReason(error)}`]);
  }
  return parseDirectSettings(text, report);
}

/** Tells whether an address consists of an IPv4 number and a port. */
function hasIp(address: string): boolean {
  const [, ip, port] = /^([^:]*):(\d+)$/.exec(address) ?? [];
  return port !== undefined && z.ipv4().safeParse(ip).success;
}
