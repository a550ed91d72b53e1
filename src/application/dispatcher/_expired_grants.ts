/**
 * Detects grants whose release is not expected any more, so that their slots can be reclaimed.
 *
 * @module
 */
import { PeerState } from '../../domain/membership/types.js';
import type { MembershipView } from '../views/mod.js';
import type { Grant } from './_grant_table.js';

/**
 * Time after which the slots of an unreachable owner are reclaimed, in
 * milliseconds. The backend server may still run the owner's requests for a while;
 * its load reports then include them.
 */
export const UNREACHABLE_OWNER_GRACE_MS = 10_000;

/** Time after a request's deadline at which its slot is reclaimed in any case, in milliseconds. */
export const DEADLINE_GRACE_MS = 30_000;

/**
 * Finds the grants that must be reclaimed. Without it, an owner that crashed or a
 * release that was lost on a stalled link would leak a slot for good; the symptom
 * is a full window while the backend server is idle.
 *
 * @param grants - all outstanding grants; each records since when its owner is unreachable
 * @param membership - the known entry hosts and their states
 * @param nowMs - monotonic time in milliseconds
 * @returns the grants to reclaim
 */
export function findExpiredGrants(
  grants: readonly Grant[],
  membership: MembershipView,
  nowMs: number,
): Grant[] {
  return grants.filter((grant) => {
    const { requester, deadlineAtMs } = grant.fields;
    const owner = membership.findIncarnation(requester.incarnation);
    const isUnreachable = !owner || owner.state === PeerState.Suspected;
    const unreachableMs = grant.trackOwnerAbsence(isUnreachable, nowMs);
    return unreachableMs >= UNREACHABLE_OWNER_GRACE_MS || nowMs - deadlineAtMs > DEADLINE_GRACE_MS;
  });
}
