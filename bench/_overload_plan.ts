/**
 * The mix of both users' shapes, and how much of it the engines can do.
 *
 * @module
 */
import { parseLoadPlan } from '../src/load/mod.js';
import type { LoadPlan, LoadPlanDocument, LoadWork } from '../src/load/mod.js';
import { buildApiKey, ENGINE_KINDS } from '../test/fleet/mod.js';
import type { FleetShape } from '../test/fleet/mod.js';

/** Phase that lets caches, windows and speeds be learnt; not counted by tier. */
export const WARM_UP_PHASE = 'warm-up';

const WARM_UP_SECONDS = 5;
const WARM_UP_MULTIPLE = 0.5;
const URGENT_DEADLINE_MS = 5_000;
const STANDARD_DEADLINE_MS = 15_000;
const BATCH_DEADLINE_MS = 25_000;
/** Callers wait this long past the deadline, so that only silence counts as a loss. */
const GRACE_MS = 20_000;
/** A full batch's step takes nearly twice as long as that of one stream. */
const FULL_BATCH_GROWTH = 1;

/** What a plan is built from. */
export interface OverloadPlanOptions {
  readonly shape: FleetShape;
  readonly engineCount: number;
  /** All of the engines' durations are multiplied by it. */
  readonly timeScale: number;
  /** Phases after the warm-up, in multiples of the capacity. */
  readonly phases: readonly { readonly seconds: number; readonly multiple: number }[];
}

/**
 * Builds the plan of one case.
 *
 * @param options - shape, engines and phases
 * @returns the plan, with the capacity that its multiples refer to
 */
export function buildOverloadPlan(options: OverloadPlanOptions): LoadPlan {
  const work = buildWork(options.shape);
  const plan = parseLoadPlan({
    phases: [{ name: 'none', seconds: 1, requestsPerSecond: 0 }],
    accounts: [{ id: 'none' }],
    work,
  });
  return parseLoadPlan({
    capacityRequestsPerSecond: computeCapacity(plan.work, options),
    checksAnswers: true,
    graceMs: GRACE_MS,
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

/** Lengths are a hundredfold apart; a status ping is one line without tokens. */
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
 * Computes how many requests a second the engines can do: a step prefills a
 * chunk and decodes a token of each stream, one after the other, so that the
 * engine time of a request is its prefill time plus its part of a full batch's
 * steps. Shared prefixes count as cached.
 */
function computeCapacity(work: readonly LoadWork[], options: OverloadPlanOptions): number {
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
    const growth = 1 + (FULL_BATCH_GROWTH * (kind.slots - 1)) / kind.slots;
    const decodeSeconds = (outputTokens * growth) / (kind.decodeTokensPerSecond * kind.slots);
    return sum + 1 / (decodeSeconds + prefillTokens / kind.prefillTokensPerSecond);
  }, 0);
  return (perSecond * totalShare) / computeShareSum(model) / options.timeScale;
}

/** Mean of a log-uniform length. */
function computeMeanLength([low, high]: readonly [number, number]): number {
  return low === high ? low : (high - low) / Math.log(high / low);
}

function computeShareSum(work: readonly LoadWork[]): number {
  return work.reduce((sum, each) => sum + each.share, 0);
}

function computeWeightedMean(work: readonly LoadWork[], pick: (each: LoadWork) => number): number {
  return work.reduce((sum, each) => sum + pick(each) * each.share, 0) / computeShareSum(work);
}
