/**
 * Parses the list of hosts that the platform publishes.
 *
 * @module
 */
import * as z from 'zod';

/** Prefix of the host list's keys. */
export const HOST_LIST_PREFIX = 'hosts/';

/** Role of a listed host. */
export enum HostRole {
  EntryHost = 'entry_host',
  BackendServer = 'backend_server',
}

/** State of a host according to the host list. */
export enum ListedHostState {
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
  state: z.enum(ListedHostState),
});

/** One host of the host list. */
export interface ListedHost extends z.infer<typeof hostSchema> {
  /** Index of the store write that last set this entry. */
  readonly modifyIndex: number;
}

/** The whole host list as returned by one read. */
export interface HostList {
  /** Index of the store's state that the read returned. */
  readonly index: number;
  readonly hosts: readonly ListedHost[];
}

/** An unparsed entry of the host list. */
export interface RawHostEntry {
  readonly key: string;
  readonly value: Uint8Array;
  readonly modifyIndex: number;
}

/**
 * Parses one entry of the host list.
 *
 * @param entry - key and JSON document of the entry
 * @returns the host
 * @throws Error stating why the entry can't be parsed
 */
export function parseListedHost(entry: RawHostEntry): ListedHost {
  const host = hostSchema.parse(JSON.parse(Buffer.from(entry.value).toString('utf8')));
  if (entry.key !== HOST_LIST_PREFIX + host.id) {
    throw new Error(`Cannot parse host ${entry.key}: its document has the ID "${host.id}"`);
  }
  if (host.role === HostRole.EntryHost && host.peerUrl === undefined) {
    throw new Error(`Cannot parse host ${entry.key}: an entry host needs a peerUrl`);
  }
  return { ...host, modifyIndex: entry.modifyIndex };
}
