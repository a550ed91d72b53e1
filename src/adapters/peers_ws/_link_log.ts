/**
 * Logs and counts the ends of peer links.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { EventLog, Metrics } from '../../ports/mod.js';
import { LinkEndCause } from './_peer_link.js';
import type { PeerLink } from './_peer_link.js';

/** Where the ends of links are logged and counted. */
export interface LinkLogOptions {
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/**
 * Logs the end of a link. Without a peer it is logged at debug level, as an address without a listener
 * is redialled forever.
 *
 * @param options - where to log and count
 * @param link - the link
 * @param cause - why it has ended
 * @param reason - the cause in detail
 */
export function logLinkEnd(
  { log, metrics }: LinkLogOptions,
  { peer, dialledUrl }: PeerLink,
  cause: LinkEndCause,
  reason: string,
): void {
  const isFault = cause === LinkEndCause.Refused || cause === LinkEndCause.OwnIncarnation;
  if (isFault) metrics.count('peer_links_refused_total', { reason: cause });
  const level = peer ? LogLevel.Info : LogLevel.Debug;
  log.write(isFault ? LogLevel.Warn : level, 'peer_link_down', {
    end: cause,
    entryHost: peer?.id,
    incarnation: peer?.incarnation,
    peerUrl: dialledUrl,
    reason,
  });
}
