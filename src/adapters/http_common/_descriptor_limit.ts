/**
 * Reads how many files and connections this process may have open.
 *
 * @module
 */
import { readFileSync } from 'node:fs';

/** Limit that is assumed if the system names none. */
const DEFAULT_DESCRIPTOR_LIMIT = 1_024;

/** @returns most descriptors that this process may have open at once */
export function readDescriptorLimit(): number {
  try {
    const limits = readFileSync('/proc/self/limits', 'utf8');
    return Number(/^Max open files\s+(\d+)/m.exec(limits)?.[1] ?? DEFAULT_DESCRIPTOR_LIMIT);
  } catch {
    // Only Linux has this file.
    return DEFAULT_DESCRIPTOR_LIMIT;
  }
}
