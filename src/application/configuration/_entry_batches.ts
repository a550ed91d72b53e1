/**
 * Splits entries into messages of bounded size.
 *
 * @module
 */
import type { AcceptedEntry } from '../../domain/configuration/mod.js';

/**
 * Most bytes of values in one message, but for a single value that is longer.
 * A long message would hold up the heartbeats behind it on the same link.
 */
export const MAX_BATCH_BYTES = 131_072;

/** Bytes that an entry takes beside its value, about. */
const ENTRY_OVERHEAD_BYTES = 128;

/**
 * Splits entries, in order.
 *
 * @param entries - what is to be sent
 * @returns a list for each message
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
