/**
 * Small versions of the deployments of two users, as test fixtures.
 *
 * @module
 */
import { buildApiKey, hashApiKey } from './documents.js';
import type { ContractDocument, EngineKindDocument, WorkDocument } from './documents.js';

/** Region, services and client accounts of one user. */
export interface FleetShape {
  readonly name: string;
  readonly region: string;
  readonly availabilityZones: readonly string[];
  readonly modelService: string;
  readonly model: string;
  readonly plainService: string;
  readonly contracts: readonly ContractDocument[];
}

/** An account and its weight, which scales its limits. */
interface AccountWeight {
  readonly id: string;
  readonly weight: number;
}

const MINUTE_MS = 60_000;

/** Engine kinds for three generations of hardware, slowest last. */
export const ENGINE_KINDS: readonly EngineKindDocument[] = [
  { id: 'fast', prefillTokensPerSecond: 8000, decodeTokensPerSecond: 60, slots: 16 },
  { id: 'middle', prefillTokensPerSecond: 4000, decodeTokensPerSecond: 40, slots: 12 },
  { id: 'slow', prefillTokensPerSecond: 2000, decodeTokensPerSecond: 20, slots: 8 },
];

const REQUESTS_PER_SECOND_PER_WEIGHT = 100;
const TOKENS_PER_SECOND_PER_WEIGHT = 100_000;
const IN_FLIGHT_PER_WEIGHT = 64;

function buildContract(account: AccountWeight, work: readonly WorkDocument[]): ContractDocument {
  return {
    account: account.id,
    keys: [{ sha256: hashApiKey(buildApiKey(account.id)) }],
    weight: account.weight,
    limits: {
      requestsPerSecond: REQUESTS_PER_SECOND_PER_WEIGHT * account.weight,
      tokensPerSecond: TOKENS_PER_SECOND_PER_WEIGHT * account.weight,
      inFlight: IN_FLIGHT_PER_WEIGHT * account.weight,
    },
    longestDeadlineMs: 10 * MINUTE_MS,
    work,
  };
}

const MOULINET_WORK: readonly WorkDocument[] = [
  {
    kind: 'summary',
    service: 'monsoon-llm',
    tier: 'urgent',
    repeatable: true,
    deadlineMs: 10_000,
    expectedOutputTokens: 40,
  },
  {
    kind: 'report',
    service: 'monsoon-llm',
    tier: 'standard',
    repeatable: false,
    deadlineMs: MINUTE_MS,
    expectedOutputTokens: 200,
  },
  {
    kind: 'classification',
    service: 'monsoon-llm',
    tier: 'batch',
    repeatable: true,
    deadlineMs: 2 * MINUTE_MS,
    expectedOutputTokens: 50,
  },
  {
    kind: 'status',
    service: 'case-app',
    tier: 'urgent',
    repeatable: true,
    deadlineMs: 5000,
    methods: ['GET'],
    pathPrefixes: ['/status'],
  },
  {
    kind: 'billing',
    service: 'case-app',
    tier: 'standard',
    repeatable: false,
    deadlineMs: 30_000,
  },
];

const PADMARAAG_WORK: readonly WorkDocument[] = [
  {
    kind: 'lookup',
    service: 'monsoonhall-desk',
    tier: 'urgent',
    repeatable: true,
    deadlineMs: 10_000,
    expectedOutputTokens: 40,
  },
  {
    kind: 'clearance',
    service: 'monsoonhall-desk',
    tier: 'standard',
    repeatable: false,
    deadlineMs: MINUTE_MS,
    expectedOutputTokens: 100,
  },
  {
    kind: 'audit',
    service: 'monsoonhall-desk',
    tier: 'batch',
    repeatable: false,
    deadlineMs: 2 * MINUTE_MS,
    expectedOutputTokens: 400,
  },
  {
    kind: 'ping',
    service: 'counter-api',
    tier: 'urgent',
    repeatable: true,
    deadlineMs: 5000,
    methods: ['GET'],
    pathPrefixes: ['/status'],
  },
  {
    kind: 'notice',
    service: 'counter-api',
    tier: 'standard',
    repeatable: false,
    deadlineMs: 30_000,
  },
];

/** Deployment of the Moulinet Humidity Reporting Consortium. */
export const MOULINET: FleetShape = {
  name: 'Moulinet',
  region: 'mu-north',
  availabilityZones: ['hall-a', 'hall-b', 'hall-c'],
  modelService: 'monsoon-llm',
  model: 'monsoon-draft',
  plainService: 'case-app',
  contracts: [
    { id: 'survey-firm-a', weight: 4 },
    { id: 'survey-firm-b', weight: 4 },
    { id: 'survey-firm-c', weight: 2 },
    { id: 'landlord', weight: 1 },
    { id: 'insurer', weight: 2 },
  ].map((account) => buildContract(account, MOULINET_WORK)),
};

/** Deployment of the Padmaraag Rights Clearance Franchise Office. */
export const PADMARAAG: FleetShape = {
  name: 'Padmaraag',
  region: 'bengal-east',
  availabilityZones: ['salt-lake', 'howrah-hall', 'durgapur-hall'],
  modelService: 'monsoonhall-desk',
  model: 'monsoonhall-clearance',
  plainService: 'counter-api',
  contracts: [
    { id: 'franchise-kolkata', weight: 4 },
    { id: 'franchise-siliguri', weight: 2 },
    { id: 'franchise-durgapur', weight: 2 },
    { id: 'franchise-howrah', weight: 1 },
    { id: 'franchise-asansol', weight: 1 },
  ].map((account) => buildContract(account, PADMARAAG_WORK)),
};
