/**
 * One entry host that reports to its peers, over fakes.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../src/domain/membership/mod.js';
import { HostReports, NO_FIGURES } from '../../src/application/direct/mod.js';
import type { CountedReport } from '../../src/application/direct/mod.js';
import { FakePeerNetwork } from './fake_peer_network.js';
import type { FakePeerHub } from './fake_peer_network.js';
import { FakeLog } from './fakes.js';
import type { VirtualClock } from './virtual_clock.js';

/** What a host may be told. */
export interface ReportHostOptions {
  readonly seeds?: readonly string[];
  readonly cores?: number;
}

/** Reports one request in flight, and adds up what it hears of others. */
export class ReportHost {
  readonly network: FakePeerNetwork;

  readonly log = new FakeLog();

  readonly reports: HostReports;

  readonly silent: string[] = [];

  reach = 0;

  isServing = true;

  readonly #heard = new Map<string, number>();

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
      getState: () => ({ isServing: this.isServing, isInTouch: true, isLeaving: false }),
      buildFigures: ({ incarnations }) => ({
        ...NO_FIGURES,
        inFlight: { engine: 1 + this.#sum(incarnations) },
      }),
      onReport: (counted) => this.#handleReport(counted),
      onSilent: ({ incarnation }) => {
        this.silent.push(incarnation);
        this.#heard.delete(incarnation);
      },
      onReach: (reach) => {
        this.reach = reach;
      },
    });
  }

  /** Requests in flight at all entry hosts, as this one believes. */
  get inFlight(): number {
    return 1 + this.#sum([...this.#heard.keys()]);
  }

  listServing(): string[] {
    return this.reports
      .listHeard()
      .filter(({ isServing }) => isServing)
      .map(({ identity }) => identity.id);
  }

  #handleReport({ identity, report }: CountedReport): void {
    this.#heard.set(identity.incarnation, report.inFlight.engine ?? 0);
  }

  #sum(incarnations: readonly string[]): number {
    return incarnations.reduce((sum, incarnation) => sum + (this.#heard.get(incarnation) ?? 0), 0);
  }
}
