/**
 * Tells which entry hosts may send requests for others.
 *
 * @module
 */
import type { HostState } from '../overlay/mod.js';

/**
 * @param host - state of an entry host
 * @returns whether it may send requests to backend servers for its peers
 */
export function mayProxy({ isServing, isCutOff, isLeaving }: HostState): boolean {
  return isServing && isCutOff === false && !isLeaving;
}
