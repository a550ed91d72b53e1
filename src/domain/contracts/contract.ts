/**
 * Schema and validation of the contract document of one client account.
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
  MAX_API_KEYS,
  MAX_PATH_PREFIX_LENGTH,
  MAX_REQUESTS_PER_SECOND,
  MAX_TOKENS_PER_SECOND,
  MAX_WEIGHT,
  MAX_WORK_ENTRIES,
} from './document_bounds.js';
import type { DocumentResult } from './document_fault.js';
import type { AccountContract, WorkKind } from './types.js';
import { parseDocument } from './_document.js';
import type { FieldFault } from './_document.js';
import {
  buildCountField,
  buildLenientListField,
  buildRateField,
  findDuplicates,
  idField,
  lenientTextField,
} from './_fields.js';

/**
 * Default deadline of a work entry by tier, in milliseconds. A contract's
 * `longestDeadlineMs` caps it.
 */
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
        .regex(/^\/[!-~]*$/, 'must begin with "/" and hold only printable ASCII characters'),
    )
    .max(MAX_CALL_PATTERNS)
    .default([]),
});

const contractSchema = z.strictObject({
  account: idField,
  keys: z.array(keySchema).min(1).max(MAX_API_KEYS),
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
    account: lenientTextField,
    keys: buildLenientListField(z.looseObject({ sha256: lenientTextField })),
    longestDeadlineMs: z.number().catch(DEFAULT_LONGEST_DEADLINE_MS),
    work: buildLenientListField(
      z.looseObject({
        kind: lenientTextField,
        service: lenientTextField,
        deadlineMs: z.number().optional().catch(undefined),
      }),
    ),
  })
  .catch({ account: undefined, keys: [], longestDeadlineMs: 0, work: [] });

/** Options of {@link parseContract}. */
export interface ParseContractOptions {
  /** Account ID that the document must name, taken from its key. Default: any account. */
  readonly accountId?: string;
}

/**
 * Validates a contract document independently of all others, and fills in defaults.
 *
 * The default of `weight` is {@link DEFAULT_WEIGHT}, that of `longestDeadlineMs` is
 * {@link DEFAULT_LONGEST_DEADLINE_MS}. A work entry is not repeatable by default,
 * covers all methods and paths, takes its `deadlineMs` from
 * {@link DEFAULT_DEADLINE_MS} by tier, and its `expectedOutputTokens` is
 * {@link DEFAULT_EXPECTED_OUTPUT_TOKENS}.
 *
 * @param document - the published text, or its UTF-8 bytes
 * @param options - the account that the document must name
 * @returns the contract, or all faults of the document
 */
export function parseContract(
  document: Uint8Array | string,
  options: ParseContractOptions = {},
): DocumentResult<AccountContract> {
  const result = parseDocument(document, {
    schema: contractSchema,
    checkFieldRelations: (raw) => checkContractRelations(raw, options.accountId),
  });
  return result.valid ? { valid: true, value: deriveContract(result.value) } : result;
}

function checkContractRelations(
  raw: unknown,
  accountId: string | undefined,
): readonly FieldFault[] {
  const document = lenientSchema.parse(raw);
  return [
    ...checkAccountId(document.account, accountId),
    ...findDuplicates(
      document.keys.map((key, index) => ({
        name: key?.sha256?.toLowerCase(),
        path: ['keys', index, 'sha256'],
      })),
      'is a duplicate',
    ),
    ...findDuplicates(
      document.work.map((work, index) => ({
        name: work?.kind && work.service && `${work.service}\n${work.kind}`,
        path: ['work', index, 'kind'],
      })),
      'is the kind of another work entry of this service',
    ),
    ...document.work.flatMap((work, index) => {
      if (work?.deadlineMs === undefined || work.deadlineMs <= document.longestDeadlineMs)
        return [];
      return [
        {
          path: ['work', index, 'deadlineMs'],
          message: `exceeds longestDeadlineMs, ${document.longestDeadlineMs}`,
        },
      ];
    }),
  ];
}

function checkAccountId(account: string | undefined, expectedId: string | undefined): FieldFault[] {
  if (expectedId === undefined || account === undefined || account === expectedId) return [];
  return [
    { path: ['account'], message: `must be "${expectedId}", the account ID in the document's key` },
  ];
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
