/**
 * Joins the records of streams with the views of this entry host.
 *
 * @module
 */
import type { SoftwareVersion } from '../../domain/streams/mod.js';
import type { Metrics, PeerNetwork, RandomSource } from '../../ports/mod.js';
import { OriginResolver, StreamOrigins } from '../streams/mod.js';
import type { TurnMonitor } from '../turns/mod.js';
import type { HostReports } from './host_reports.js';
import { PastReader } from './_past_reader.js';
import { StoreConfirmer } from './store_confirmer.js';
import type { StoreConfirmerOptions } from './store_confirmer.js';
import type { StoreView } from './store_view.js';

/** Shortest time for which streams are remembered, in milliseconds. */
const MIN_STREAM_LIFE_MS = 30_000;

/**
 * Time by which a host may still begin streams at a server whose entry is gone, in milliseconds: the
 * most that the age of its view may be, and the time for which it keeps an entry that has lapsed.
 */
const VIEW_DELAY_MS = 10_000;

/** Records of streams, and what finds where one began. */
export interface StreamServices {
  readonly origins: StreamOrigins;
  readonly resolver: OriginResolver;
}

/** What the records depend on. */
export interface StreamServicesOptions extends StoreConfirmerOptions {
  readonly metrics: Metrics;
  readonly peers: PeerNetwork;
  readonly random: RandomSource;
  readonly storeView: StoreView;
  readonly turns: TurnMonitor;
  /** Number of peers that are told of each stream. Default: 4. */
  readonly copies?: number | undefined;
  /** @returns the exchange of reports; undefined for a host that knows no others */
  readonly getReports: () => Pick<HostReports, 'hasMember' | 'isPlannedRelay'> | undefined;
}

/**
 * @param options - what the records depend on
 * @returns the records, not started yet
 */
export function createStreamServices(options: StreamServicesOptions): StreamServices {
  const { clock, storeView, getReports } = options;
  const { routing, servers } = storeView;
  const getLifeMs = (): number => computeLifeMs(routing.longestTimeoutMs);
  const shared = {
    ...options,
    isRelay: (id: string) => getReports()?.isPlannedRelay(id) === true,
    isMember: (incarnation: string) => getReports()?.hasMember(incarnation) === true,
  };
  const confirmer = new StoreConfirmer(options);
  const findOnlyVersion = (serviceId: string): SoftwareVersion | undefined => {
    const fromMs = clock.nowMs() - getLifeMs();
    // A stream that began before its route was moved may have begun at any service.
    if (routing.hasMovedStreamsSince(fromMs)) return undefined;
    return servers.versions.findOnly(serviceId, fromMs);
  };
  const origins = new StreamOrigins({
    ...shared,
    getLifeMs,
    mustTell: (serviceId) => findOnlyVersion(serviceId) === undefined,
  });
  const past = new PastReader(options);
  servers.onChange(() => {
    past.request();
    origins.tellUntold();
  });
  const resolver = new OriginResolver({
    ...shared,
    origins,
    findOnlyVersion,
    computeStoreAgeMs: () => routing.computeAgeMs(),
    requestConfirmation: () => confirmer.request(),
  });
  return { origins, resolver };
}

/**
 * Computes how long a stream may live: a call, and the wait of its caller before the next one, last
 * for one timeout each.
 */
function computeLifeMs(longestTimeoutMs: number): number {
  return Math.max(MIN_STREAM_LIFE_MS, 2 * longestTimeoutMs + VIEW_DELAY_MS);
}
