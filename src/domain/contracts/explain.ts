/**
 * Explains what follows from a contract, row by row.
 *
 * @module
 */
import { TIER_NAMES } from '../scheduling/tier.js';
import { findHints } from './hints.js';
import type { AccountContract, Fleet, WorkKind } from './types.js';

/** One limit, tier, allowance or hint. */
export interface ExplanationRow {
  /** What it holds for: the account, or one kind of work at one service. */
  readonly subject: string;
  readonly name: string;
  readonly value: string;
}

/**
 * Lists every limit, tier and allowance that follows from a contract.
 *
 * @param contract - the valid contract
 * @param fleet - adds hints about what the fleet lacks
 * @returns the rows, the account's first
 */
export function explainContract(
  contract: AccountContract,
  fleet?: Fleet,
): readonly ExplanationRow[] {
  const subject = `account ${contract.accountId}`;
  const account: readonly (readonly [string, string])[] = [
    ['API keys', String(contract.keyHashes.length)],
    ['weight in its tier', String(contract.weight)],
    ['requests a second', String(contract.limits.requestsPerSecond)],
    ['tokens a second', String(contract.limits.tokensPerSecond)],
    ['in flight at most', String(contract.limits.inFlight)],
    ['longest deadline', `${contract.longestDeadlineMs} ms`],
    ['services', [...new Set(contract.work.map(({ serviceId }) => serviceId))].join(', ')],
  ];
  return [
    ...account.map(([name, value]) => ({ subject, name, value })),
    ...contract.work.flatMap((work, at) => explainWork(work, isDefault(contract, at))),
    ...(fleet ? findHints(contract, fleet) : []).map((value) => ({ subject, name: 'hint', value })),
  ];
}

/** The first entry of a service holds for calls without a `Work-Kind` header that it covers. */
function isDefault(contract: AccountContract, at: number): boolean {
  const { serviceId } = contract.work[at] ?? { serviceId: '' };
  return contract.work.findIndex((work) => work.serviceId === serviceId) === at;
}

function explainWork(work: WorkKind, first: boolean): readonly ExplanationRow[] {
  const subject = `work ${work.kind} at ${work.serviceId}`;
  const rows: readonly (readonly [string, string])[] = [
    ['tier', TIER_NAMES[work.tier]],
    ['without Work-Kind header', first ? 'holds first' : 'holds where no earlier entry fits'],
    ['may be repeated', work.repeatable ? 'yes' : 'no: needs a Request-Id, runs at most once'],
    ['default deadline', `${work.deadlineMs} ms`],
    ['expected output', `${work.expectedOutputTokens} tokens`],
    ['methods', work.methods.length > 0 ? work.methods.join(', ') : 'all'],
    ['paths', work.pathPrefixes.length > 0 ? work.pathPrefixes.join(', ') : 'all'],
  ];
  return rows.map(([name, value]) => ({ subject, name, value }));
}
