/**
 * What a request may crash backend servers by, beside its content.
 *
 * @module
 */
import type { RequestScope } from '../../domain/crashes/mod.js';

/** What a request has beside its content. */
export interface RequestDetails {
  /** IDs of the parts of its prompt that other requests may share. */
  readonly partIds: readonly string[];
  /** Client account that asks; undefined if unknown. */
  readonly accountId: string | undefined;
}

/**
 * @param contentId - content of a request
 * @param details - what it has beside. Default: nothing, nobody known
 * @returns all that it may crash servers by, and who asks
 */
export function buildScope(
  contentId: string,
  { partIds = [], accountId }: Partial<RequestDetails>,
): RequestScope {
  return { accountId, causeIds: [contentId, ...partIds] };
}
