/**
 * The configuration replicas of several entry hosts in one process, for tests:
 * `const deployment = await startDeployment(['a', 'b']);`
 *
 * @module
 */
import { ConfigurationReplica } from '../../src/application/configuration/mod.js';
import { CONTRACT_KEY_PREFIX, FLEET_KEY } from '../../src/domain/configuration/mod.js';
import { buildIdentity, FakePeerHub, FakePeerNetwork } from './fake_peer_network.js';
import { FakeLog, FakeMetrics } from './fakes.js';
import { FakePlatform } from './fake_platform.js';
import type { FakePlatformReader } from './fake_platform.js';
import { VirtualClock } from './virtual_clock.js';

/** Key of the contract that tests change. */
export const FIRM_A_KEY = `${CONTRACT_KEY_PREFIX}firm-a`;

/** Time between two heartbeats, in milliseconds. */
export const HEARTBEAT_MS = 500;

/** Longest time for which a starting entry host waits for its peers, in milliseconds. */
export const START_TIMEOUT_MS = 2000;

/** Longest time for which the service holds a watch, in milliseconds. */
export const WATCH_WAIT_MS = 10_000;

/**
 * Builds a valid contract document.
 *
 * @param weight - weight of the account, by which tests distinguish versions
 * @param account - ID of the account
 * @returns the document as JSON
 */
export function buildContract(weight: number, account = 'firm-a'): string {
  return JSON.stringify({
    account,
    keys: [{ sha256: '0'.repeat(64) }],
    weight,
    limits: { requestsPerSecond: 1, tokensPerSecond: 1, inFlight: 1 },
    work: [{ kind: 'w', service: 's', tier: 'batch' }],
  });
}

/** The configuration replica of one entry host and its collaborators. */
export interface ConfigurationHost {
  readonly keeper: ConfigurationReplica;
  readonly network: FakePeerNetwork;
  readonly reader: FakePlatformReader;
  readonly log: FakeLog;
  readonly metrics: FakeMetrics;
  /** Weights of firm-a that were in effect in this incarnation, in order. */
  readonly weights: number[];
}

/** Entry hosts with one configuration service, and the heartbeats between them. */
export class Deployment {
  readonly clock = new VirtualClock();

  readonly service = new FakePlatform(this.clock);

  readonly hub = new FakePeerHub();

  readonly hosts = new Map<string, ConfigurationHost>();

  #incarnationCount = 0;

  start(id: string, isCut = false): ConfigurationHost {
    this.#incarnationCount += 1;
    const identity = buildIdentity(id, `${id}-${this.#incarnationCount}`);
    const network = new FakePeerNetwork(this.hub, identity);
    const reader = this.service.createReader();
    reader.setCut(isCut);
    const log = new FakeLog();
    const metrics = new FakeMetrics();
    const keeper = new ConfigurationReplica({
      clock: this.clock,
      log,
      metrics,
      platform: reader,
      peers: network,
      waitMs: WATCH_WAIT_MS,
      startTimeoutMs: START_TIMEOUT_MS,
    });
    const host = { keeper, network, reader, log, metrics, weights: [] as number[] };
    keeper.onChange(() => {
      host.weights.push(keeper.findAccount('firm-a')?.weight ?? 0);
    });
    keeper.start();
    this.hosts.set(id, host);
    return host;
  }

  async stop(id: string): Promise<void> {
    const host = this.hosts.get(id);
    this.hosts.delete(id);
    await host?.network.close();
    await host?.keeper.stop();
  }

  /** Advances the virtual time, with heartbeats over every open link. */
  async advance(byMs: number): Promise<void> {
    for (let restMs = byMs; restMs > 0; restMs -= HEARTBEAT_MS) {
      await this.clock.advance(Math.min(restMs, HEARTBEAT_MS));
      this.#sendHeartbeats();
    }
  }

  /** Stops all entry hosts, so that no watch stays open. */
  async close(): Promise<void> {
    const stopping = [...this.hosts.keys()].map((id) => this.stop(id));
    await this.clock.advance(0);
    await Promise.all(stopping);
  }

  /** @returns the weight of firm-a that is in effect at each entry host */
  listWeights(): readonly (number | undefined)[] {
    return [...this.hosts.values()].map(({ keeper }) => keeper.findAccount('firm-a')?.weight);
  }

  #sendHeartbeats(): void {
    this.hosts.forEach((from) => {
      this.hosts.forEach((to) => {
        const [a, b] = [from.network.identity, to.network.identity];
        if (a === b || !this.hub.isOpen(a.id, b.id)) return;
        const { revision, hash } = from.keeper.getStatus();
        to.keeper.handlePeerRevision(a.incarnation, revision, hash);
      });
    });
  }
}

/** Starts a deployment whose first documents are in effect. @param ids - entry host IDs */
export async function startDeployment(ids: readonly string[]): Promise<Deployment> {
  const deployment = new Deployment();
  deployment.service.publish(FLEET_KEY, '{"services":[]}');
  deployment.service.publish(FIRM_A_KEY, buildContract(1));
  ids.forEach((id) => deployment.start(id));
  await deployment.advance(START_TIMEOUT_MS);
  return deployment;
}
