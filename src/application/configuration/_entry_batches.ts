/**
 * Splits configuration entries into batches of bounded size, one for each peer message.
 *
 * @module
 */
import type { AcceptedEntry } from '../../domain/configuration/mod.js';

/**
 * Maximum size of the values in one message, in bytes; only a single value may
 * exceed it. A longer message would delay the heartbeats behind it on the same link.
 */
export const MAX_BATCH_BYTES = 131_072;

/** Approximate size of an entry without its value, in bytes. */
const ENTRY_OVERHEAD_BYTES = 128;

/**
 * Splits entries into batches and keeps their order.
 *
 * @param entries - the entries to send
 * @returns one list of entries for each message
 */
export function splitEntries(
  entries: readonly AcceptedEntry[],
): readonly (readonly AcceptedEntry[])[] {
  const batches: AcceptedEntry[][] = [];
  let bytes = 0;
  entries.forEach((entry) => {
    const entryBytes = (entry.value?.length ?? 0) + ENTRY_OVERHEAD_BYTES;
    const last = batches[batches.length - 1];
    if (last && bytes + entryBytes <= MAX_BATCH_BYTES) {
      last.push(entry);
      bytes += entryBytes;
      return;
    }
    batches.push([entry]);
    bytes = entryBytes;
  });
  return batches;
}
