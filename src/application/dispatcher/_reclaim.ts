/**
 * Slots whose release will not come any more.
 *
 * @module
 */
import { PeerState } from '../../domain/membership/types.js';
import type { MembershipView } from '../views/mod.js';
import type { Grant } from './_grant_book.js';

/**
 * Time after which the slots of an owner that can't be seen are reclaimed, in
 * milliseconds. The backend server may go on with its requests a little; load
 * reports then tell of them.
 */
export const RECLAIM_GONE_MS = 10_000;

/** Time after a request's deadline at which its slot is reclaimed in any case, in milliseconds. */
export const RECLAIM_LATE_MS = 30_000;

/**
 * Finds grants to be reclaimed. Without this, an owner that died, or a release
 * that a silent link swallowed, would take a slot away for ever; one would
 * notice a window that is full while the backend server idles.
 *
 * @param grants - every grant that is out; each notes since when its owner is gone
 * @param membership - who is there
 * @param nowMs - monotonic time in milliseconds
 * @returns those to be reclaimed
 */
export function findExpiredGrants(
  grants: readonly Grant[],
  membership: MembershipView,
  nowMs: number,
): Grant[] {
  return grants.filter((grant) => {
    const { requester, deadlineAtMs } = grant.fields;
    const owner = membership.findIncarnation(requester.incarnation);
    const isGone = !owner || owner.state === PeerState.Suspected;
    const goneMs = grant.noteOwner(isGone, nowMs);
    return goneMs >= RECLAIM_GONE_MS || nowMs - deadlineAtMs > RECLAIM_LATE_MS;
  });
}
