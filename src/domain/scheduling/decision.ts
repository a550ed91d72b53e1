/**
 * What a group's scheduler decides.
 *
 * @module
 */
import type { ErrorKind } from '../errors/mod.js';
import type { SlotDemand } from './slot_demand.js';

/** The two ways in which a wait ends. */
export enum DecisionKind {
  Grant = 'grant',
  Refusal = 'refusal',
}

/** The demand holds a slot from now on. */
export interface GrantDecision {
  readonly kind: DecisionKind.Grant;
  readonly demand: SlotDemand;
  readonly grantId: number;
  readonly backendServerId: string;
}

/** The demand gets no slot. */
export interface RefusalDecision {
  readonly kind: DecisionKind.Refusal;
  readonly demand: SlotDemand;
  readonly reason: ErrorKind;
  /** When to come back, in milliseconds. */
  readonly retryAfterMs: number;
}

/** One decision. */
export type Decision = GrantDecision | RefusalDecision;
