/**
 * How each program of a fleet is started.
 *
 * @module
 */
import { fileURLToPath } from 'node:url';
import type { FilledFleetOptions } from './fleet_options.js';
import type { ProgramSpec } from './fleet_process.js';
import { ENGINE_KINDS } from './shapes.js';

/** Key of every administration listener in tests. */
export const ADMIN_KEY = 'test-administration-key';

const CLUSTER_KEY = '5a'.repeat(32);

/** What the start of a backend server needs. */
export interface BackendSpecOptions {
  readonly options: FilledFleetOptions;
  /** Where it keeps its runs. */
  readonly runsFile: string;
}

/** Addresses of one entry host. */
export interface EntryHostPorts {
  readonly callers: number;
  readonly peers: number;
  readonly admin: number;
}

/** Everything that an entry host is told. */
export interface EntryHostSettings {
  readonly id: string;
  readonly availabilityZone: string;
  readonly ports: EntryHostPorts;
  /** URL at which peers reach it. */
  readonly peerUrl: string;
  readonly configurationUrl: string;
  readonly hostListUrl: string;
  /** URLs of the other entry hosts. */
  readonly peerUrls: readonly string[];
}

/** The compiled tree stands two folders above this file, whatever its name. */
function findProgram(path: string): string {
  return fileURLToPath(new URL(`../../${path}`, import.meta.url));
}

function formatAddress(port: number): string {
  return `127.0.0.1:${port}`;
}

/**
 * Builds the start of a platform stand-in.
 *
 * @param role - `configuration` or `host-list`
 * @param port - where it listens
 * @param lagMs - how late its keys show, in milliseconds
 * @returns the start
 */
export function buildPlatformSpec(role: string, port: number, lagMs: number): ProgramSpec {
  return {
    program: findProgram('standin/platform_main.js'),
    args: ['--listen', formatAddress(port), '--role', role, '--lag-ms', String(lagMs)],
  };
}

/**
 * Picks the kind of an engine: the kinds take turns.
 *
 * @param index - which engine, from 0 on
 * @returns the kind
 */
export function pickEngineKind(index: number): (typeof ENGINE_KINDS)[number] {
  return ENGINE_KINDS[index % ENGINE_KINDS.length] as (typeof ENGINE_KINDS)[number];
}

/**
 * Builds the start of an engine stand-in.
 *
 * @param index - which engine, from 0 on
 * @param port - where it listens
 * @param options - the fleet's options, and where its runs are kept
 * @returns the start
 */
export function buildEngineSpec(
  index: number,
  port: number,
  { options, runsFile }: BackendSpecOptions,
): ProgramSpec {
  const kind = pickEngineKind(index);
  const flags = {
    listen: formatAddress(port),
    id: `engine-${index + 1}`,
    service: options.shape.modelService,
    models: options.shape.model,
    'prefill-tokens-per-second': kind.prefillTokensPerSecond,
    'decode-tokens-per-second': kind.decodeTokensPerSecond,
    'max-batch': kind.slots,
    'time-scale': options.timeScale,
    'runs-file': runsFile,
  };
  const args = Object.entries(flags).flatMap(([name, value]) => [`--${name}`, String(value)]);
  return {
    program: findProgram('standin/engine_main.js'),
    args: [...args, ...options.engineFlags],
  };
}

/**
 * Builds the start of a plain service's stand-in.
 *
 * @param index - which server, from 0 on
 * @param port - where it listens
 * @param options - the fleet's options, and where its runs are kept
 * @returns the start
 */
export function buildPlainSpec(
  index: number,
  port: number,
  { options, runsFile }: BackendSpecOptions,
): ProgramSpec {
  const args = ['--listen', formatAddress(port), '--id', `plain-${index + 1}`];
  return {
    program: findProgram('standin/plain_main.js'),
    args: [
      ...args,
      '--service',
      options.shape.plainService,
      '--runs-file',
      runsFile,
      ...options.plainServerFlags,
    ],
  };
}

/**
 * Builds the start of an entry host.
 *
 * @param settings - what it is told
 * @param flags - more flags
 * @returns the start
 */
export function buildEntryHostSpec(
  settings: EntryHostSettings,
  flags: readonly string[],
): ProgramSpec {
  const args = {
    id: settings.id,
    'availability-zone': settings.availabilityZone,
    listen: formatAddress(settings.ports.callers),
    'peer-listen': formatAddress(settings.ports.peers),
    'peer-advertise': settings.peerUrl,
    'admin-listen': formatAddress(settings.ports.admin),
    'configuration-url': settings.configurationUrl,
    'host-list-url': settings.hostListUrl,
    peers: settings.peerUrls.join(','),
  };
  return {
    program: findProgram('src/commands/main.js'),
    args: [
      'entry',
      ...Object.entries(args).flatMap(([name, value]) => [`--${name}`, value]),
      ...flags,
    ],
    env: { MONSOONHALL_ADMIN_KEY: ADMIN_KEY, MONSOONHALL_CLUSTER_KEY: CLUSTER_KEY },
  };
}
