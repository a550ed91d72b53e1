/**
 * Translation between peers' messages and the pure policy.
 *
 * @module
 */
import type { ErrorKind } from '../../domain/errors/mod.js';
import { ServerVerdict } from '../../domain/scheduling/mod.js';
import type { SlotDemand, SlotResult } from '../../domain/scheduling/mod.js';
import { PeerMessageType, SlotOutcome } from '../../ports/mod.js';
import type {
  SlotRefusalMessage,
  SlotReleaseMessage,
  SlotRequestMessage,
} from '../../ports/mod.js';

const VERDICTS: Readonly<Record<SlotOutcome, ServerVerdict>> = {
  [SlotOutcome.Answered]: ServerVerdict.Healthy,
  [SlotOutcome.Refused]: ServerVerdict.Refusing,
  [SlotOutcome.Failed]: ServerVerdict.Failing,
  [SlotOutcome.Unused]: ServerVerdict.Unknown,
  [SlotOutcome.Cancelled]: ServerVerdict.Unknown,
};

/**
 * Names a wait.
 *
 * @param incarnation - the owner
 * @param ticket - its ticket
 * @returns the name
 */
export function formatKey(incarnation: string, ticket: number): string {
  return `${incarnation}/${ticket}`;
}

/**
 * Builds what waits in the queue.
 *
 * @param key - the wait's name
 * @param message - what the owner asked
 * @param nowMs - monotonic time in milliseconds
 * @returns the demand
 */
export function buildDemand(key: string, message: SlotRequestMessage, nowMs: number): SlotDemand {
  return {
    key,
    accountId: message.accountId,
    weight: message.weight,
    tier: message.tier,
    deadlineAtMs: nowMs + message.remainingMs,
    waitingSinceMs: nowMs - message.waitedMs,
    promptTokens: message.promptTokens,
    expectedOutputTokens: message.expectedOutputTokens,
    blockHashes: message.blockHashes,
    excluded: message.excluded,
  };
}

/**
 * Translates how a slot was used.
 *
 * @param outcome - how it ended
 * @param message - what was seen; by default nothing
 * @returns the same for the policy
 */
export function toSlotResult(outcome: SlotOutcome, message?: SlotReleaseMessage): SlotResult {
  return {
    verdict: VERDICTS[outcome],
    firstByteMs: message?.firstByteMs ?? 0,
    totalMs: message?.totalMs ?? 0,
    outputTokens: message?.outputTokens ?? 0,
  };
}

/**
 * Builds the answer to an owner that gets no slot.
 *
 * @param ticket - the owner's ticket
 * @param kind - why
 * @param retryAfterMs - when to come back, in milliseconds
 * @returns the message
 */
export function buildRefusal(
  ticket: number,
  kind: ErrorKind,
  retryAfterMs: number,
): SlotRefusalMessage {
  return { type: PeerMessageType.SlotRefusal, ticket, kind, retryAfterMs };
}
