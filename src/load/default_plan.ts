/**
 * Builds the default load plan: a mix of tiers and prompt lengths.
 *
 * @module
 */
import { parseLoadPlan } from './plan.js';
import type { LoadPlan } from './plan.js';

/** Options of {@link buildDefaultPlan}. */
export interface DefaultPlanOptions {
  readonly model: string;
  readonly service: string;
  readonly requestsPerSecond: number;
  readonly seconds: number;
  readonly accounts: readonly { readonly id: string; readonly apiKey: string }[];
}

/**
 * Builds a plan with short urgent, medium standard and long batch work. Lengths differ by up
 * to a hundredfold, and prompts share prefixes.
 *
 * @param options - target, accounts, rate and duration
 * @returns the plan
 */
export function buildDefaultPlan(options: DefaultPlanOptions): LoadPlan {
  const { model, service } = options;
  return parseLoadPlan({
    phases: [
      {
        name: 'steady',
        seconds: options.seconds,
        requestsPerSecond: options.requestsPerSecond,
      },
    ],
    accounts: options.accounts.map((account) => ({ ...account })),
    work: [
      {
        name: 'summary',
        share: 5,
        tier: 'urgent',
        service,
        model,
        promptTokens: [130, 600],
        outputTokens: [4, 40],
        deadlineMs: 10_000,
        prefixCount: 4,
        prefixTokens: 128,
      },
      {
        name: 'report',
        share: 3,
        tier: 'standard',
        service,
        model,
        promptTokens: [520, 4000],
        outputTokens: [40, 400],
        deadlineMs: 60_000,
        prefixCount: 4,
        prefixTokens: 512,
      },
      {
        name: 'classification',
        share: 2,
        tier: 'batch',
        service,
        model,
        withId: false,
        stream: false,
        promptTokens: [520, 8000],
        outputTokens: [4, 100],
        deadlineMs: 120_000,
        prefixCount: 2,
        prefixTokens: 512,
      },
    ],
  });
}
