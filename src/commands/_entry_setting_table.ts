/**
 * Defines the settings of `monsoonhall entry`. Flags, environment variables, checks, defaults
 * and help texts are all derived from this table.
 *
 * @module
 */
import type { z } from 'zod';
import { LogLevel } from '../domain/errors/mod.js';
import { StrategyName } from '../domain/scheduling/mod.js';
import {
  createAddressSchema,
  createChoiceSchema,
  createHexKeySchema,
  createIntegerSchema,
  createFractionSchema,
  createNameSchema,
  createPemFileSchema,
  createSecretSchema,
  createUrlListSchema,
  createUrlSchema,
  createWritableFileSchema,
} from './_setting_schemas.js';

const MAX_RESERVE_FRACTION = 0.5;
const MIN_ADMIN_KEY_LENGTH = 8;
const MIN_CLUSTER_KEY_BYTES = 32;
const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const MEBIBYTE = 1_048_576;
const GIBIBYTE = 1024 * MEBIBYTE;
const MAX_BODY_BYTES = 256 * MEBIBYTE;
const MAX_CONNECTIONS = 100_000;
const MIN_MEMORY_MB = 128;
const MAX_MEMORY_MB = 1_048_576;

/** Definition of one setting. */
export interface SettingRow<T> {
  /** Parses and checks the text of the flag or environment variable. */
  readonly schema: z.ZodType<T, string>;
  /** Purpose of the setting, as the help and the operators' page print it. */
  readonly description: string;
  /** Text that is parsed if neither the flag nor the environment variable is given. */
  readonly fallback?: string;
  /** Whether the setting may be omitted; its value is undefined in that case. */
  readonly optional?: true;
}

function buildDurationSetting(
  minMs: number,
  maxMs: number,
  fallbackMs: number,
  description: string,
) {
  const schema = createIntegerSchema(minMs, maxMs);
  return { schema, description: `${description}, in milliseconds`, fallback: String(fallbackMs) };
}

/** Every setting of the entry host, keyed by its name in camel case. */
export const ENTRY_SETTING_TABLE = {
  id: { schema: createNameSchema(), description: "This entry host's name" },
  availabilityZone: { schema: createNameSchema(), description: 'Availability zone it stands in' },
  listen: { schema: createAddressSchema(), description: "Address of the callers' listener" },
  advertise: {
    schema: createUrlSchema(['http', 'https']),
    description: "Callers' base URL; by default that of --listen",
    optional: true,
  },
  peerListen: { schema: createAddressSchema(), description: "Address of the peers' listener" },
  peerAdvertise: {
    schema: createUrlSchema(['ws']),
    description: 'URL at which peers reach it; by default that of --peer-listen',
    optional: true,
  },
  adminListen: {
    schema: createAddressSchema(),
    description: 'Address of the administration listener',
  },
  adminKey: {
    schema: createSecretSchema(MIN_ADMIN_KEY_LENGTH),
    description: 'Key of the administration API; rather by its environment variable',
  },
  clusterKey: {
    schema: createHexKeySchema(MIN_CLUSTER_KEY_BYTES),
    description: `Key of peer links and request IDs, at least ${MIN_CLUSTER_KEY_BYTES} bytes in hex; rather by its environment variable`,
  },
  configurationUrl: {
    schema: createUrlSchema(['http', 'https']),
    description: 'Base URL of the configuration service',
  },
  hostListUrl: {
    schema: createUrlSchema(['http', 'https']),
    description: 'Base URL of the host list',
  },
  peers: {
    schema: createUrlListSchema(['ws']),
    description: 'URLs of peers to link to at the start, with commas between them',
    fallback: '',
  },
  tlsCertificate: {
    schema: createPemFileSchema(),
    description: 'File of the certificate for callers, in PEM; https is used when it is given',
    optional: true,
  },
  tlsKey: {
    schema: createPemFileSchema(),
    description: "File of the certificate's private key, in PEM",
    optional: true,
  },
  logLevel: {
    schema: createChoiceSchema(Object.values(LogLevel)),
    description: 'Lowest level that is logged: debug, info, warn or error',
    fallback: LogLevel.Info,
  },
  traceFile: {
    schema: createWritableFileSchema(),
    description: 'File that spans are appended to, one JSON line each',
    optional: true,
  },
  otlpUrl: {
    schema: createUrlSchema(['http', 'https']),
    description:
      'URL that spans are sent to by OTLP over HTTP, such as http://10.0.0.9:4318/v1/traces',
    optional: true,
  },
  requestIdLifetimeMs: buildDurationSetting(
    1000,
    24 * HOUR_MS,
    600_000,
    'How long a request ID lives',
  ),
  keepAddressMs: buildDurationSetting(100, HOUR_MS, 30_000, 'How long callers may keep an address'),
  answerBytes: {
    schema: createIntegerSchema(65_536, 64 * GIBIBYTE),
    description: 'Bytes of answers that are kept, over all requests',
    fallback: '33554432',
  },
  answerKeepMs: buildDurationSetting(0, HOUR_MS, 60_000, 'How long a finished answer is kept'),
  stopLimitMs: buildDurationSetting(100, 24 * HOUR_MS, 120_000, 'Longest time of a planned stop'),
  platformWaitMs: buildDurationSetting(
    100,
    HOUR_MS,
    2000,
    'How long the platform may hold a watch; a silent watch is noticed a second later',
  ),
  heartbeatMs: buildDurationSetting(10, MINUTE_MS, 500, 'Time between heartbeats'),
  suspectAfterMs: buildDurationSetting(
    20,
    HOUR_MS,
    2000,
    'Silence after which a peer is suspected',
  ),
  maxBodyBytes: {
    schema: createIntegerSchema(1024, MAX_BODY_BYTES),
    description: "Longest body of a caller's request, in bytes",
    fallback: '4194304',
  },
  maxConnections: {
    schema: createIntegerSchema(1, MAX_CONNECTIONS),
    description: "Most connections of the callers' listener",
    fallback: '2000',
  },
  memoryMb: {
    schema: createIntegerSchema(MIN_MEMORY_MB, MAX_MEMORY_MB),
    description:
      'Memory of the machine, in megabytes, which bounds bodies, requests and connections',
    optional: true,
  },
  headerTimeoutMs: buildDurationSetting(10, HOUR_MS, 5000, "Longest time for a request's header"),
  requestTimeoutMs: buildDurationSetting(10, HOUR_MS, 15_000, 'Longest time for a whole request'),
  reserveFraction: {
    schema: createFractionSchema(MAX_RESERVE_FRACTION),
    description: 'Part of each window kept free for each higher tier',
    fallback: '0.125',
  },
  strategy: {
    schema: createChoiceSchema(Object.values(StrategyName)),
    description: 'Scheduling: dispatcher; two-choices, fixed-shares and first-come are baselines',
    fallback: StrategyName.Dispatcher,
  },
} as const satisfies Record<string, SettingRow<unknown>>;

/** Name of a setting, in camel case. */
export type EntrySettingName = keyof typeof ENTRY_SETTING_TABLE;
