/**
 * Limits the links whose other end has not proved the cluster key.
 *
 * @module
 */
import { LinkEndCause } from './_peer_link.js';
import type { PeerLink } from './_peer_link.js';

/**
 * Ends the oldest accepted link without a proof, where a new one would be too many. Peers prove the
 * key at once; if new links were refused, strangers that say nothing would keep all peers out.
 *
 * @param links - all links, the oldest first
 * @param maxCount - most accepted links without a proof
 * @returns whether a link was ended
 */
export function endOldestUnproven(links: Iterable<PeerLink>, maxCount: number): boolean {
  const unproven = [...links].filter((link) => !link.peer && link.dialledUrl === undefined);
  const [oldest] = unproven;
  if (!oldest || unproven.length < maxCount) return false;
  oldest.end(LinkEndCause.Unproven);
  return true;
}
