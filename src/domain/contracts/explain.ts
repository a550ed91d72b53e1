/**
 * Lists the effective limits and work kinds of a contract as rows of a table.
 *
 * @module
 */
import { TIER_NAMES } from '../scheduling/tier.js';
import { findHints } from './hints.js';
import type { AccountContract, Fleet, WorkKind } from './types.js';

/** One named value that a contract sets, or a hint. */
export interface ExplanationRow {
  /** What the value applies to: the account, or one kind of work at one service. */
  readonly subject: string;
  readonly name: string;
  readonly value: string;
}

/**
 * Lists every limit, tier and deadline of a contract, defaults included.
 *
 * @param contract - the valid contract
 * @param fleet - the fleet to check the contract against; its hints become rows
 * @returns the rows, those of the account first
 */
export function explainContract(
  contract: AccountContract,
  fleet?: Fleet,
): readonly ExplanationRow[] {
  const subject = `account ${contract.accountId}`;
  const accountRows: readonly (readonly [string, string])[] = [
    ['API keys', String(contract.keyHashes.length)],
    ['weight in its tier', String(contract.weight)],
    ['requests a second', String(contract.limits.requestsPerSecond)],
    ['tokens a second', String(contract.limits.tokensPerSecond)],
    ['in flight at most', String(contract.limits.inFlight)],
    ['longest deadline', `${contract.longestDeadlineMs} ms`],
    ['services', [...new Set(contract.work.map(({ serviceId }) => serviceId))].join(', ')],
  ];
  return [
    ...accountRows.map(([name, value]) => ({ subject, name, value })),
    ...contract.work.flatMap((work, index) => explainWork(work, isFirstOfService(contract, index))),
    ...(fleet ? findHints(contract, fleet) : []).map((value) => ({ subject, name: 'hint', value })),
  ];
}

/**
 * Checks whether a work entry is the first of its service. Calls without a
 * `Work-Kind` header have the first kind of the service that covers them.
 */
function isFirstOfService(contract: AccountContract, index: number): boolean {
  const { serviceId } = contract.work[index] ?? { serviceId: '' };
  return contract.work.findIndex((work) => work.serviceId === serviceId) === index;
}

function explainWork(work: WorkKind, isFirst: boolean): readonly ExplanationRow[] {
  const subject = `work ${work.kind} at ${work.serviceId}`;
  const rows: readonly (readonly [string, string])[] = [
    ['tier', TIER_NAMES[work.tier]],
    ['without Work-Kind header', isFirst ? 'holds first' : 'holds where no earlier entry fits'],
    ['may be repeated', work.repeatable ? 'yes' : 'no: needs a Request-Id, runs at most once'],
    ['default deadline', `${work.deadlineMs} ms`],
    ['expected output', `${work.expectedOutputTokens} tokens`],
    ['methods', work.methods.length > 0 ? work.methods.join(', ') : 'all'],
    ['paths', work.pathPrefixes.length > 0 ? work.pathPrefixes.join(', ') : 'all'],
  ];
  return rows.map(([name, value]) => ({ subject, name, value }));
}
