/**
 * The contract document of one client account.
 *
 * @module
 */
import * as z from 'zod';
import { Tier, TIERS, TIER_NAMES } from '../scheduling/tier.js';
import {
  DEFAULT_EXPECTED_OUTPUT_TOKENS,
  DEFAULT_LONGEST_DEADLINE_MS,
  DEFAULT_WEIGHT,
  MAX_CALL_PATTERNS,
  MAX_DEADLINE_MS,
  MAX_EXPECTED_OUTPUT_TOKENS,
  MAX_IN_FLIGHT,
  MAX_KEYS,
  MAX_PATH_PREFIX_LENGTH,
  MAX_REQUESTS_PER_SECOND,
  MAX_TOKENS_PER_SECOND,
  MAX_WEIGHT,
  MAX_WORK_ENTRIES,
} from './document_bounds.js';
import type { DocumentResult } from './document_fault.js';
import type { AccountContract, WorkKind } from './types.js';
import { parseDocument } from './_document.js';
import type { RuleFault } from './_document.js';
import {
  buildCountField,
  buildLenientList,
  buildRateField,
  findRepeated,
  idField,
  lenientText,
} from './_fields.js';

/** Deadline of a work entry that names none, in milliseconds; never beyond the longest. */
export const DEFAULT_DEADLINE_MS: Readonly<Record<Tier, number>> = {
  [Tier.Urgent]: 10_000,
  [Tier.Standard]: 120_000,
  [Tier.Batch]: 600_000,
};

const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const;

const TIER_VALUES = TIERS.map((tier) => TIER_NAMES[tier]);

const keySchema = z.strictObject({
  sha256: z
    .string()
    .regex(/^[0-9a-fA-F]{64}$/, 'must be a SHA-256 in hex: 64 digits')
    .toLowerCase(),
});

const workSchema = z.strictObject({
  kind: idField,
  service: idField,
  tier: z.enum(TIER_VALUES),
  repeatable: z.boolean().default(false),
  deadlineMs: buildCountField(MAX_DEADLINE_MS).optional(),
  expectedOutputTokens: buildCountField(MAX_EXPECTED_OUTPUT_TOKENS).default(
    DEFAULT_EXPECTED_OUTPUT_TOKENS,
  ),
  methods: z.array(z.enum(METHODS)).max(MAX_CALL_PATTERNS).default([]),
  pathPrefixes: z
    .array(
      z
        .string()
        .max(MAX_PATH_PREFIX_LENGTH)
        .regex(/^\/[!-~]*$/, 'must begin with "/" and hold printable ASCII signs only'),
    )
    .max(MAX_CALL_PATTERNS)
    .default([]),
});

const contractSchema = z.strictObject({
  account: idField,
  keys: z.array(keySchema).min(1).max(MAX_KEYS),
  weight: buildRateField(MAX_WEIGHT).default(DEFAULT_WEIGHT),
  limits: z.strictObject({
    requestsPerSecond: buildRateField(MAX_REQUESTS_PER_SECOND),
    tokensPerSecond: buildRateField(MAX_TOKENS_PER_SECOND),
    inFlight: buildCountField(MAX_IN_FLIGHT),
  }),
  longestDeadlineMs: buildCountField(MAX_DEADLINE_MS).default(DEFAULT_LONGEST_DEADLINE_MS),
  work: z.array(workSchema).min(1).max(MAX_WORK_ENTRIES),
});

type ContractDocument = z.infer<typeof contractSchema>;

const lenientSchema = z
  .looseObject({
    account: lenientText,
    keys: buildLenientList(z.looseObject({ sha256: lenientText })),
    longestDeadlineMs: z.number().catch(DEFAULT_LONGEST_DEADLINE_MS),
    work: buildLenientList(
      z.looseObject({
        kind: lenientText,
        service: lenientText,
        deadlineMs: z.number().optional().catch(undefined),
      }),
    ),
  })
  .catch({ account: undefined, keys: [], longestDeadlineMs: 0, work: [] });

/** Options of {@link parseContract}. */
export interface ParseContractOptions {
  /** Account that the document's key names; the document must be for it. Default: any. */
  readonly accountId?: string;
}

/**
 * Checks a contract document, alone, and derives what follows from it.
 *
 * Left out, `weight` is {@link DEFAULT_WEIGHT}, `longestDeadlineMs` is
 * {@link DEFAULT_LONGEST_DEADLINE_MS}, a work entry is not repeatable, its
 * `deadlineMs` is that of its tier in {@link DEFAULT_DEADLINE_MS}, its
 * `expectedOutputTokens` {@link DEFAULT_EXPECTED_OUTPUT_TOKENS}, and it covers
 * all methods and paths.
 *
 * @param published - the text, or its bytes as they were published
 * @param options - which account it has to be for
 * @returns the contract, or all faults of the document
 */
export function parseContract(
  published: Uint8Array | string,
  options: ParseContractOptions = {},
): DocumentResult<AccountContract> {
  const result = parseDocument(published, {
    schema: contractSchema,
    checkRules: (raw) => checkRules(raw, options.accountId),
  });
  return result.valid ? { valid: true, value: deriveContract(result.value) } : result;
}

function checkRules(raw: unknown, accountId: string | undefined): readonly RuleFault[] {
  const document = lenientSchema.parse(raw);
  return [
    ...checkAccount(document.account, accountId),
    ...findRepeated(
      document.keys.map((key, at) => ({
        name: key?.sha256?.toLowerCase(),
        path: ['keys', at, 'sha256'],
      })),
      'is there twice',
    ),
    ...findRepeated(
      document.work.map((work, at) => ({
        name: work?.kind && work.service && `${work.service}\n${work.kind}`,
        path: ['work', at, 'kind'],
      })),
      'names a kind that this service has already',
    ),
    ...document.work.flatMap((work, at) => {
      if (work?.deadlineMs === undefined || work.deadlineMs <= document.longestDeadlineMs)
        return [];
      return [
        {
          path: ['work', at, 'deadlineMs'],
          message: `is beyond longestDeadlineMs, ${document.longestDeadlineMs}`,
        },
      ];
    }),
  ];
}

function checkAccount(account: string | undefined, expected: string | undefined): RuleFault[] {
  if (expected === undefined || account === undefined || account === expected) return [];
  return [{ path: ['account'], message: `must be "${expected}", as its key says` }];
}

function deriveContract(document: ContractDocument): AccountContract {
  return {
    accountId: document.account,
    keyHashes: document.keys.map((key) => key.sha256),
    weight: document.weight,
    limits: document.limits,
    longestDeadlineMs: document.longestDeadlineMs,
    work: document.work.map((work) => deriveWork(work, document.longestDeadlineMs)),
  };
}

function deriveWork(work: ContractDocument['work'][number], longestDeadlineMs: number): WorkKind {
  const tier = TIERS[TIER_VALUES.indexOf(work.tier)] ?? Tier.Batch;
  return {
    kind: work.kind,
    serviceId: work.service,
    tier,
    repeatable: work.repeatable,
    deadlineMs: work.deadlineMs ?? Math.min(DEFAULT_DEADLINE_MS[tier], longestDeadlineMs),
    expectedOutputTokens: work.expectedOutputTokens,
    methods: work.methods,
    pathPrefixes: work.pathPrefixes,
  };
}
