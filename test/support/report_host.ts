/**
 * One entry host that exchanges reports with its peers, over fakes.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../src/domain/membership/mod.js';
import { HostReports, NO_STATS } from '../../src/application/direct/mod.js';
import type { CountedReport } from '../../src/application/direct/mod.js';
import { FakePeerNetwork } from './fake_peer_network.js';
import type { FakePeerHub } from './fake_peer_network.js';
import { FakeLog } from './fakes.js';
import type { VirtualClock } from './virtual_clock.js';

/** Options of a {@link ReportHost}. */
export interface ReportHostOptions {
  readonly seeds?: readonly string[];
  readonly cores?: number;
}

/** Reports one request in flight, and sums the requests that peers report. */
export class ReportHost {
  readonly network: FakePeerNetwork;

  readonly log = new FakeLog();

  readonly reports: HostReports;

  /** Incarnations of peers that have fallen silent, in order. */
  readonly silentIncarnations: string[] = [];

  /** Reachable fraction of the entry hosts, as last reported. */
  reachableFraction = 0;

  isServing = true;

  /** Requests in flight that each peer reported last, by incarnation. */
  readonly #reportedInFlight = new Map<string, number>();

  constructor(
    hub: FakePeerHub,
    clock: VirtualClock,
    readonly identity: EntryHostIdentity,
    { seeds = ['ws://a.test'], cores = 1 }: ReportHostOptions = {},
  ) {
    this.network = new FakePeerNetwork(hub, identity);
    this.reports = new HostReports({
      self: identity,
      cores,
      peers: this.network,
      seedPeerUrls: seeds,
      clock,
      log: this.log,
      getState: () => ({
        isServing: this.isServing,
        isInTouch: true,
        isCutOff: false,
        isLeaving: false,
      }),
      buildStats: ({ incarnations }) => ({
        ...NO_STATS,
        inFlight: { engine: 1 + this.#sumInFlight(incarnations) },
      }),
      onReport: (counted) => this.#handleReport(counted),
      onSilent: ({ incarnation }) => {
        this.silentIncarnations.push(incarnation);
        this.#reportedInFlight.delete(incarnation);
      },
      onReachableFraction: (reach) => {
        this.reachableFraction = reach;
      },
    });
  }

  /** Number of requests in flight at all entry hosts, as far as this one knows. */
  get inFlight(): number {
    return 1 + this.#sumInFlight([...this.#reportedInFlight.keys()]);
  }

  /** @returns the IDs of the peers that report that they serve callers */
  listServing(): string[] {
    return this.reports
      .listHeard()
      .filter(({ isServing }) => isServing)
      .map(({ identity }) => identity.id);
  }

  #handleReport({ identity, report }: CountedReport): void {
    this.#reportedInFlight.set(identity.incarnation, report.inFlight.engine ?? 0);
  }

  #sumInFlight(incarnations: readonly string[]): number {
    return incarnations.reduce(
      (sum, incarnation) => sum + (this.#reportedInFlight.get(incarnation) ?? 0),
      0,
    );
  }
}
