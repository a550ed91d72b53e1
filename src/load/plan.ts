/**
 * What a load run offers: who asks, for what, how often and how long.
 *
 * @module
 */
import * as z from 'zod';
import { TIER_NAMES } from '../domain/scheduling/tier.js';
import type { Tier } from '../domain/scheduling/tier.js';

const TIER_BY_NAME: Readonly<Record<string, Tier>> = Object.fromEntries(
  Object.entries(TIER_NAMES).map(([tier, name]) => [name, Number(tier) as Tier]),
);

const rangeSchema = z
  .tuple([z.number().int().positive(), z.number().int().positive()])
  .refine(([low, high]) => low <= high, 'the lower bound stands first');

const phaseSchema = z
  .strictObject({
    name: z.string().min(1),
    seconds: z.number().positive(),
    requestsPerSecond: z.number().nonnegative().optional(),
    capacityMultiple: z.number().nonnegative().optional(),
  })
  .refine(
    (phase) => (phase.requestsPerSecond === undefined) !== (phase.capacityMultiple === undefined),
    'exactly one of requestsPerSecond and capacityMultiple is needed',
  );

const accountSchema = z.strictObject({
  id: z.string().min(1),
  apiKey: z.string().default(''),
  share: z.number().positive().default(1),
});

const workSchema = z
  .strictObject({
    name: z.string().min(1),
    share: z.number().positive(),
    tier: z.enum(['urgent', 'standard', 'batch']).transform((name) => TIER_BY_NAME[name] as Tier),
    service: z.string().min(1),
    model: z.string().min(1).optional(),
    method: z.string().default('GET'),
    path: z.string().default('/status'),
    workKind: z.string().optional(),
    withId: z.boolean().default(true),
    stream: z.boolean().default(true),
    promptTokens: rangeSchema.default([20, 2000]),
    outputTokens: rangeSchema.default([1, 100]),
    deadlineMs: z.number().positive(),
    prefixCount: z.number().int().nonnegative().default(0),
    prefixTokens: z.number().int().nonnegative().default(0),
  })
  .refine((work) => work.prefixTokens < work.promptTokens[0], {
    message: 'the shared prefix must be shorter than the shortest prompt',
    path: ['prefixTokens'],
  });

const planSchema = z.strictObject({
  capacityRequestsPerSecond: z.number().positive().optional(),
  phases: z.array(phaseSchema).min(1),
  accounts: z.array(accountSchema).min(1),
  work: z.array(workSchema).min(1),
  callersPerAccount: z.number().int().positive().default(8),
  maxSockets: z.number().int().positive().default(1500),
  checksAnswers: z.boolean().default(false),
  graceMs: z.number().nonnegative().default(3000),
});

/** A stretch of time with one arrival rate. */
export type LoadPhase = z.infer<typeof phaseSchema>;

/** One client account that sends. `share` is its part of all arrivals, in any unit. */
export type LoadAccount = z.infer<typeof accountSchema>;

/** One kind of work that is sent; lengths in tokens, drawn log-uniformly from their ranges. */
export type LoadWork = z.infer<typeof workSchema>;

/**
 * A whole plan; times in milliseconds unless the name says seconds. With
 * `checksAnswers` each token of a model's answer must bear its prompt's mark,
 * as the stand-in engines' answers do, so that crossed and torn answers show.
 */
export type LoadPlan = z.infer<typeof planSchema>;

/** A plan as it is written, before defaults are filled in. */
export type LoadPlanDocument = z.input<typeof planSchema>;

/**
 * Checks a plan and fills in its defaults.
 *
 * @param document - the plan as it was read from JSON
 * @returns the plan
 * @throws Error with one line a fault
 */
export function parseLoadPlan(document: unknown): LoadPlan {
  const result = planSchema.safeParse(document);
  if (!result.success) {
    const faults = result.error.issues.map(
      (issue) => `Cannot use the load plan: ${issue.path.join('.') || '(root)'}: ${issue.message}`,
    );
    throw new Error(faults.join('\n'));
  }
  const needsCapacity = result.data.phases.some((phase) => phase.capacityMultiple !== undefined);
  if (needsCapacity && result.data.capacityRequestsPerSecond === undefined) {
    throw new Error('Cannot use the load plan: a capacityMultiple needs capacityRequestsPerSecond');
  }
  return result.data;
}

/**
 * Computes the arrival rate of a phase.
 *
 * @param plan - the plan, for its capacity
 * @param phase - which phase
 * @returns requests a second
 */
export function computeRate(plan: LoadPlan, phase: LoadPhase): number {
  if (phase.requestsPerSecond !== undefined) return phase.requestsPerSecond;
  return (phase.capacityMultiple ?? 0) * (plan.capacityRequestsPerSecond ?? 0);
}
