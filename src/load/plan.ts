/**
 * Schema of a load plan: accounts, kinds of work, and phases with arrival rates.
 *
 * @module
 */
import * as z from 'zod';
import { TIER_NAMES } from '../domain/scheduling/tier.js';
import type { Tier } from '../domain/scheduling/tier.js';

const TIER_BY_NAME: Readonly<Record<string, Tier>> = Object.fromEntries(
  Object.entries(TIER_NAMES).map(([tier, name]) => [name, Number(tier) as Tier]),
);

/** A pair of inclusive bounds, the lower one first. */
const rangeSchema = z
  .tuple([z.number().int().positive(), z.number().int().positive()])
  .refine(([low, high]) => low <= high, 'the lower bound must come first');

const phaseSchema = z
  .strictObject({
    name: z.string().min(1),
    seconds: z.number().positive(),
    requestsPerSecond: z.number().nonnegative().optional(),
    // Rate as a multiple of the plan's `capacityRequestsPerSecond`.
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
    // `method` and `path` apply to work without a model, which calls the service itself.
    method: z.string().default('GET'),
    path: z.string().default('/status'),
    workKind: z.string().optional(),
    // Whether the caller requests an ID first; without one, a retry may run the request again.
    withId: z.boolean().default(true),
    stream: z.boolean().default(true),
    promptTokens: rangeSchema.default([20, 2000]),
    outputTokens: rangeSchema.default([1, 100]),
    deadlineMs: z.number().positive(),
    // Number of different shared prompt prefixes for each account, and the length of each.
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
  // Limit of open connections over all callers.
  maxSockets: z.number().int().positive().default(1500),
  checksAnswers: z.boolean().default(false),
  // Time that a caller still waits for an answer after the deadline.
  graceMs: z.number().nonnegative().default(3000),
});

/** A period with a constant arrival rate, given directly or as a multiple of the capacity. */
export type LoadPhase = z.infer<typeof phaseSchema>;

/** A client account that sends requests; `share` is its relative weight among the accounts. */
export type LoadAccount = z.infer<typeof accountSchema>;

/**
 * A kind of work; `share` is its relative weight. Lengths are in tokens and drawn log-uniformly
 * from their ranges.
 */
export type LoadWork = z.infer<typeof workSchema>;

/**
 * A load plan with its defaults. With `checksAnswers`, each token of a model's answer must carry
 * the mark of its prompt, as the answers of stand-in engines do; this detects answers that are
 * mixed up between requests or lack tokens.
 */
export type LoadPlan = z.infer<typeof planSchema>;

/** A load plan as written in JSON, before defaults are applied. */
export type LoadPlanDocument = z.input<typeof planSchema>;

/**
 * Validates a plan and applies its defaults.
 *
 * @param document - the parsed JSON of the plan
 * @returns the plan
 * @throws Error with one line for each fault
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
    throw new Error(
      'Cannot use the load plan: a phase with capacityMultiple needs capacityRequestsPerSecond',
    );
  }
  return result.data;
}

/**
 * Computes the arrival rate of a phase.
 *
 * @param plan - the plan, which has the capacity
 * @param phase - the phase
 * @returns the rate in requests per second
 */
export function computeArrivalRate(plan: LoadPlan, phase: LoadPhase): number {
  if (phase.requestsPerSecond !== undefined) return phase.requestsPerSecond;
  return (phase.capacityMultiple ?? 0) * (plan.capacityRequestsPerSecond ?? 0);
}
