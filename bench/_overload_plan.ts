/**
 * Builds the load plan of an overload case, and estimates the capacity of the engines for it.
 *
 * @module
 */
import { parseLoadPlan } from '../src/load/mod.js';
import type { LoadPlan, LoadPlanDocument, LoadWork } from '../src/load/mod.js';
import { buildApiKey, ENGINE_KINDS } from '../test/fleet/mod.js';
import type { FleetShape } from '../test/fleet/mod.js';

/**
 * Name of the first phase, in which caches fill and entry hosts learn windows and speeds. The
 * results by tier exclude it.
 */
export const WARM_UP_PHASE = 'warm-up';

const WARM_UP_SECONDS = 5;
const WARM_UP_MULTIPLE = 0.5;
const URGENT_DEADLINE_MS = 5_000;
const STANDARD_DEADLINE_MS = 15_000;
const BATCH_DEADLINE_MS = 25_000;
/** Time that callers wait past the deadline, so that only missing responses count as lost. */
const RESPONSE_GRACE_MS = 20_000;
/** Added relative duration of a full batch's step: nearly twice that of a single stream. */
const FULL_BATCH_OVERHEAD = 1;

/** Inputs of a plan. */
export interface OverloadPlanOptions {
  readonly shape: FleetShape;
  readonly engineCount: number;
  /** Factor that scales all durations of the simulated engines. */
  readonly timeScale: number;
  /** Phases after the warm-up, with the load in multiples of the capacity. */
  readonly phases: readonly { readonly seconds: number; readonly multiple: number }[];
}

/**
 * Builds the load plan of one case.
 *
 * @param options - shape, engines and phases
 * @returns the plan with the estimated capacity to which its multiples refer
 */
export function buildOverloadPlan(options: OverloadPlanOptions): LoadPlan {
  const work = buildWork(options.shape);
  const plan = parseLoadPlan({
    phases: [{ name: 'none', seconds: 1, requestsPerSecond: 0 }],
    accounts: [{ id: 'none' }],
    work,
  });
  return parseLoadPlan({
    capacityRequestsPerSecond: estimateCapacity(plan.work, options),
    checksAnswers: true,
    graceMs: RESPONSE_GRACE_MS,
    callersPerAccount: 8,
    phases: [
      { name: WARM_UP_PHASE, seconds: WARM_UP_SECONDS, capacityMultiple: WARM_UP_MULTIPLE },
      ...options.phases.map(({ seconds, multiple }, index) => ({
        name: `phase-${index + 1}`,
        seconds,
        capacityMultiple: multiple,
      })),
    ],
    accounts: options.shape.contracts.map(({ account, weight }) => ({
      id: account,
      apiKey: buildApiKey(account),
      share: weight,
    })),
    work,
  });
}

/** Builds a mix of work whose lengths vary a hundredfold; pings and notices have no tokens. */
function buildWork(shape: FleetShape): LoadPlanDocument['work'] {
  const [urgent, standard, batch, ping, notice] =
    shape.contracts[0]?.work.map(({ kind }) => kind) ?? [];
  const { modelService: service, model, plainService } = shape;
  return [
    {
      name: 'urgent',
      workKind: urgent,
      share: 40,
      tier: 'urgent',
      service,
      model,
      promptTokens: [80, 600],
      outputTokens: [4, 40],
      deadlineMs: URGENT_DEADLINE_MS,
      prefixCount: 4,
      prefixTokens: 64,
    },
    {
      name: 'standard',
      workKind: standard,
      share: 25,
      tier: 'standard',
      service,
      model,
      promptTokens: [520, 4000],
      outputTokens: [40, 400],
      deadlineMs: STANDARD_DEADLINE_MS,
      prefixCount: 4,
      prefixTokens: 512,
    },
    {
      name: 'batch',
      workKind: batch,
      share: 20,
      tier: 'batch',
      service,
      model,
      stream: false,
      promptTokens: [1040, 8000],
      outputTokens: [4, 100],
      deadlineMs: BATCH_DEADLINE_MS,
      prefixCount: 2,
      prefixTokens: 1024,
    },
    {
      name: 'ping',
      workKind: ping,
      share: 10,
      tier: 'urgent',
      service: plainService,
      withId: false,
      deadlineMs: URGENT_DEADLINE_MS,
    },
    {
      name: 'notice',
      workKind: notice,
      share: 5,
      tier: 'standard',
      service: plainService,
      method: 'POST',
      path: '/notices',
      deadlineMs: STANDARD_DEADLINE_MS,
    },
  ];
}

/**
 * Estimates the engines' capacity in requests per second. A step prefills one chunk and then decodes
 * one token of each stream, so a request takes its prefill time plus its share of a full batch's
 * steps. Shared prefixes count as cached.
 */
function estimateCapacity(work: readonly LoadWork[], options: OverloadPlanOptions): number {
  const totalShare = work.reduce((sum, each) => sum + each.share, 0);
  const model = work.filter((each) => each.model !== undefined);
  const outputTokens = computeWeightedMean(model, (each) => computeMeanLength(each.outputTokens));
  const prefillTokens = computeWeightedMean(
    model,
    (each) => computeMeanLength(each.promptTokens) - each.prefixTokens,
  );
  const kinds = Array.from(
    { length: options.engineCount },
    (_, index) => ENGINE_KINDS[index % ENGINE_KINDS.length] as (typeof ENGINE_KINDS)[number],
  );
  const perSecond = kinds.reduce((sum, kind) => {
    const growth = 1 + (FULL_BATCH_OVERHEAD * (kind.slots - 1)) / kind.slots;
    const decodeSeconds = (outputTokens * growth) / (kind.decodeTokensPerSecond * kind.slots);
    return sum + 1 / (decodeSeconds + prefillTokens / kind.prefillTokensPerSecond);
  }, 0);
  return (perSecond * totalShare) / sumShares(model) / options.timeScale;
}

/** Computes the mean of a log-uniform length distribution. */
function computeMeanLength([low, high]: readonly [number, number]): number {
  return low === high ? low : (high - low) / Math.log(high / low);
}

function sumShares(work: readonly LoadWork[]): number {
  return work.reduce((sum, each) => sum + each.share, 0);
}

function computeWeightedMean(work: readonly LoadWork[], pick: (each: LoadWork) => number): number {
  return work.reduce((sum, each) => sum + pick(each) * each.share, 0) / sumShares(work);
}
