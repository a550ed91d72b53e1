/**
 * The host list as the platform publishes it.
 *
 * @module
 */
import * as z from 'zod';

/** Prefix of the host list's keys. */
export const HOST_LIST_PREFIX = 'hosts/';

/** What a listed host does. */
export enum HostRole {
  EntryHost = 'entry_host',
  BackendServer = 'backend_server',
}

/** What the host list says of a host. */
export enum HostState {
  Live = 'live',
  Leaving = 'leaving',
}

const MAX_TEXT_LENGTH = 512;
const textSchema = z.string().min(1).max(MAX_TEXT_LENGTH);

const hostSchema = z.object({
  id: textSchema,
  role: z.enum(HostRole),
  peerUrl: textSchema.optional(),
  url: textSchema.optional(),
  availabilityZone: textSchema.optional(),
  state: z.enum(HostState),
});

/** One host of the list. */
export interface ListedHost extends z.infer<typeof hostSchema> {
  /** Index of the write that set it. */
  readonly modifyIndex: number;
}

/** The whole list as one read gave it. */
export interface HostList {
  /** Index of the read. */
  readonly index: number;
  readonly hosts: readonly ListedHost[];
}

/** An entry of the list before it was parsed. */
export interface RawHostEntry {
  readonly key: string;
  readonly value: Uint8Array;
  readonly modifyIndex: number;
}

/**
 * Parses one entry of the host list.
 *
 * @param entry - key and JSON document
 * @returns the host
 * @throws Error that says why the entry can't be parsed
 */
export function parseListedHost(entry: RawHostEntry): ListedHost {
  const host = hostSchema.parse(JSON.parse(Buffer.from(entry.value).toString('utf8')));
  if (entry.key !== HOST_LIST_PREFIX + host.id) {
    throw new Error(`Cannot parse host ${entry.key}: it names itself "${host.id}"`);
  }
  if (host.role === HostRole.EntryHost && host.peerUrl === undefined) {
    throw new Error(`Cannot parse host ${entry.key}: an entry host needs a peerUrl`);
  }
  return { ...host, modifyIndex: entry.modifyIndex };
}
