/**
 * Maps peer messages to and from the types of the scheduling domain.
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

const VERDICT_BY_OUTCOME: Readonly<Record<SlotOutcome, ServerVerdict>> = {
  [SlotOutcome.Answered]: ServerVerdict.Healthy,
  [SlotOutcome.Refused]: ServerVerdict.Refusing,
  [SlotOutcome.Failed]: ServerVerdict.Failing,
  [SlotOutcome.Unused]: ServerVerdict.Unknown,
  [SlotOutcome.Cancelled]: ServerVerdict.Unknown,
};

/**
 * Builds the key that identifies a slot request across owners.
 *
 * @param incarnation - the owner's incarnation
 * @param ticket - the owner's ticket for the request
 * @returns the key
 */
export function formatRequestKey(incarnation: string, ticket: number): string {
  return `${incarnation}/${ticket}`;
}

/**
 * Converts a slot request into the demand that the scheduler queues.
 *
 * @param key - the request's key, see {@link formatRequestKey}
 * @param message - the owner's request
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
 * Converts the use of a slot into the scheduler's result.
 *
 * @param outcome - how the use ended
 * @param message - the owner's measurements; without it all measurements are 0
 * @returns the result
 */
export function toSlotResult(outcome: SlotOutcome, message?: SlotReleaseMessage): SlotResult {
  return {
    verdict: VERDICT_BY_OUTCOME[outcome],
    firstByteMs: message?.firstByteMs ?? 0,
    totalMs: message?.totalMs ?? 0,
    outputTokens: message?.outputTokens ?? 0,
  };
}

/**
 * Builds the reply to an owner whose slot request is refused.
 *
 * @param ticket - the owner's ticket
 * @param kind - the reason
 * @param retryAfterMs - time after which the caller may retry, in milliseconds
 * @returns the message
 */
export function buildRefusal(
  ticket: number,
  kind: ErrorKind,
  retryAfterMs: number,
): SlotRefusalMessage {
  return { type: PeerMessageType.SlotRefusal, ticket, kind, retryAfterMs };
}
