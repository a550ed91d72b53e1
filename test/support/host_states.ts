/**
 * Builds what an entry host hears of another one.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../src/domain/membership/mod.js';
import type { HostState } from '../../src/domain/overlay/mod.js';

/** @returns the state of an entry host that serves callers and reaches the backend servers */
export function buildState(identity: EntryHostIdentity): HostState {
  return {
    identity,
    bornAtMs: 0,
    version: 1,
    cores: 1,
    isServing: true,
    isInTouch: true,
    isCutOff: false,
    isLeaving: false,
  };
}
