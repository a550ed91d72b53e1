/**
 * Tracks the membership of entry hosts: which ones are known, which ones are leaving,
 * and whether this process may act on its view. After
 * `const membership = new MembershipTracker({...}); membership.start();` the tracker is
 * read as a `MembershipView`.
 *
 * @module
 */
export { MembershipTracker } from './membership_tracker.js';
export type {
  ConfigurationVersion,
  GroupLoadsHandler,
  MembershipTrackerOptions,
  PeerConfigurationHandler,
} from './membership_tracker_options.js';
