/**
 * Builds the command line of each program of a test fleet.
 *
 * @module
 */
import { fileURLToPath } from 'node:url';
import type { ResolvedFleetOptions } from './fleet_options.js';
import type { ProgramSpec } from './fleet_process.js';
import { ENGINE_KINDS } from './shapes.js';

/** Key for the administration listeners of all entry hosts in tests. */
export const ADMIN_KEY = 'test-administration-key';

const CLUSTER_KEY = '5a'.repeat(32);

/** Options for the command line of a backend server. */
export interface BackendSpecOptions {
  readonly options: ResolvedFleetOptions;
  /** File in which the server records its runs. */
  readonly runsFile: string;
}

/** Ports of the listeners of one entry host. */
export interface EntryHostPorts {
  readonly callers: number;
  readonly peers: number;
  readonly admin: number;
}

/** Settings of one entry host. */
export interface EntryHostSettings {
  readonly id: string;
  readonly availabilityZone: string;
  readonly ports: EntryHostPorts;
  /** URL at which other entry hosts reach this one. */
  readonly peerUrl: string;
  readonly configurationUrl: string;
  readonly hostListUrl: string;
  /** URLs of the other entry hosts. */
  readonly peerUrls: readonly string[];
}

/** Resolves a path in the tree of compiled files, whose root is two folders above this file. */
function findProgram(path: string): string {
  return fileURLToPath(new URL(`../../${path}`, import.meta.url));
}

function formatAddress(port: number): string {
  return `127.0.0.1:${port}`;
}

/**
 * Builds the command line of a platform stand-in.
 *
 * @param role - `configuration` or `host-list`
 * @param port - port to listen on
 * @param lagMs - delay before a write becomes visible, in milliseconds
 * @returns the command line
 */
export function buildPlatformSpec(role: string, port: number, lagMs: number): ProgramSpec {
  return {
    program: findProgram('standin/platform_main.js'),
    args: ['--listen', formatAddress(port), '--role', role, '--lag-ms', String(lagMs)],
  };
}

/**
 * Picks the kind of an engine, in rotation.
 *
 * @param index - index of the engine, from 0
 * @returns the engine kind
 */
export function pickEngineKind(index: number): (typeof ENGINE_KINDS)[number] {
  return ENGINE_KINDS[index % ENGINE_KINDS.length] as (typeof ENGINE_KINDS)[number];
}

/**
 * Builds the command line of an engine stand-in.
 *
 * @param index - index of the engine, from 0
 * @param port - port to listen on
 * @param options - options of the fleet and the file for the runs of the engine
 * @returns the command line
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
 * Builds the command line of a stand-in plain server.
 *
 * @param index - index of the server, from 0
 * @param port - port to listen on
 * @param options - options of the fleet and the file for the runs of the server
 * @returns the command line
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
 * Builds the command line and environment of an entry host.
 *
 * @param settings - settings of the entry host
 * @param flags - additional flags
 * @returns the command line and environment
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
