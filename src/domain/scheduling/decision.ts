/**
 * Decisions of a group scheduler.
 *
 * @module
 */
import type { ErrorKind } from '../errors/mod.js';
import type { SlotDemand } from './slot_demand.js';

/** The two outcomes of a demand. */
export enum DecisionKind {
  Grant = 'grant',
  Refusal = 'refusal',
}

/** Grants a slot; the demand holds it from now on. */
export interface GrantDecision {
  readonly kind: DecisionKind.Grant;
  readonly demand: SlotDemand;
  readonly grantId: number;
  readonly backendServerId: string;
}

/** Refuses a demand, which gets no slot. */
export interface RefusalDecision {
  readonly kind: DecisionKind.Refusal;
  readonly demand: SlotDemand;
  readonly reason: ErrorKind;
  /** Delay after which the caller should retry, in milliseconds. */
  readonly retryAfterMs: number;
}

/** A grant or a refusal. */
export type Decision = GrantDecision | RefusalDecision;
