/**
 * Entry hosts that send requests through each other over real links and connections, in one process.
 *
 * @module
 */
import { randomBytes } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { setTimeout as setTimeoutPromise } from 'node:timers/promises';
import type { Test } from 'tap';
import { SystemClock } from '../../src/adapters/clock/mod.js';
import { DirectDialect } from '../../src/adapters/direct_http/mod.js';
import type { AnswerInfo } from '../../src/adapters/direct_http/mod.js';
import { WsPeerNetwork } from '../../src/adapters/peers_ws/mod.js';
import { SystemRandom } from '../../src/adapters/random/mod.js';
import { HostPaths } from '../../src/application/paths/mod.js';
import type { EntryHostIdentity } from '../../src/domain/membership/mod.js';
import { ServerPaths } from '../../src/domain/paths/mod.js';
import { BackendFailure, DirectBackendClient, RateLimitKind } from '../../src/ports/mod.js';
import type {
  BackendExchange,
  BackendListener,
  BackendRequest,
  ServerProbe,
} from '../../src/ports/mod.js';
import { FakeLog, FakeMetrics } from './fakes.js';
import { buildState } from './host_states.js';

const CLUSTER_KEY = randomBytes(32);

const POLL_INTERVAL_MS = 5;

/** Times of the links between hosts, as in the product. */
const LINK_TIMES = { pingAfterMs: 400, linkTimeoutMs: 1_200, maxRedialMs: 1_000 };

/** Headers of the test's own protocol. */
export class TestDialect extends DirectDialect {
  override readonly reservedHeaders = new Set<string>();

  override readCall(): never {
    throw new Error('Cannot read calls: the test has no callers');
  }

  override buildSystemHeaders({ deadlineMs }: BackendRequest): string[] {
    return ['X-Deadline', String(deadlineMs)];
  }

  override readAnswer(_status: number, headers: IncomingMessage['headers']): AnswerInfo {
    return {
      requestId: headers['x-id'] as string | undefined,
      isAuthentic: true,
      hasNotRun: false,
      isMisdirected: false,
      load: undefined,
      notice: { kind: RateLimitKind.Limited, requestsPerSecond: 2, declinesPerSecond: 3 },
    };
  }

  override buildRefusalHeaders(): string[] {
    return [];
  }
}

/** A client whose links to all servers are cut. */
export class CutBackend extends DirectBackendClient {
  override send(_request: BackendRequest, listener: BackendListener): BackendExchange {
    const timer = setTimeout(() => listener.onFailure(BackendFailure.NotSent, 'cut'), 1);
    return { mayHaveBeenSent: false, cancel: () => clearTimeout(timer) };
  }

  override closeIdle(): void {}
}

export interface TestHost {
  readonly network: WsPeerNetwork;
  readonly paths: ServerPaths;
  readonly hostPaths: HostPaths;
}

export async function startHost(
  t: Test,
  id: string,
  backend: DirectBackendClient,
  probe: ServerProbe,
  changes: Partial<EntryHostIdentity> = {},
): Promise<TestHost> {
  const shared = {
    clock: new SystemClock(),
    log: new FakeLog(),
    metrics: new FakeMetrics(),
    random: new SystemRandom(),
  };
  const self = {
    id,
    incarnation: randomBytes(8).toString('hex'),
    url: `http://${id}`,
    peerUrl: 'ws://127.0.0.1:0',
    availabilityZone: 'hall-a',
    resumesExchanges: true,
    ...changes,
  };
  const network = new WsPeerNetwork({
    ...shared,
    self,
    listenHost: '127.0.0.1',
    listenPort: 0,
    clusterKey: CLUSTER_KEY,
    ...LINK_TIMES,
  });
  const paths = new ServerPaths();
  const hostPaths = new HostPaths({
    ...shared,
    peers: network,
    availabilityZone: self.availabilityZone,
    probe,
    backend,
    paths,
    listHeard: () => network.listLinkedPeers().map((identity) => buildState(identity)),
    mayReceive: () => true,
    isPaused: () => false,
    listServers: () => [],
    recordNotice: () => undefined,
  });
  await network.start();
  t.teardown(() => {
    hostPaths.stop();
    return network.close();
  });
  return { network, paths, hostPaths };
}

/** Collects what a listener is told until the exchange ends. */
export function collectEvents(
  send: (listener: BackendListener) => void,
): Promise<{ readonly events: string[]; readonly body: string }> {
  const events: string[] = [];
  const chunks: Buffer[] = [];
  return new Promise((resolve) => {
    const finish = (event: string): void => {
      events.push(event);
      resolve({ events, body: Buffer.concat(chunks).toString('latin1') });
    };
    send({
      onNotice: ({ declinesPerSecond }) => events.push(`limit ${declinesPerSecond}`),
      onHead: ({ status }) => events.push(`head ${status}`),
      onBody: (bytes) => chunks.push(bytes),
      onComplete: () => finish('complete'),
      onFailure: (failure) => finish(failure),
    });
  });
}

export function buildRequest(address: string, body: Buffer): BackendRequest {
  return {
    request: {
      requestId: 'r-1',
      method: 'POST',
      target: '/a/1?b=2',
      path: '/a/1',
      hostName: 'api.example',
      headers: ['Host', 'api.example'],
      body,
      key: undefined,
      deadlineMs: undefined,
      lastEventId: undefined,
      work: { promptTokens: 0, outputTokens: 0 },
      isSized: false,
    },
    address,
    serverId: 's-1',
    incarnationId: 's-1',
    accountId: undefined,
    deadlineMs: 2_000,
    lastEventId: undefined,
    urgency: 0,
  };
}

export async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) await setTimeoutPromise(POLL_INTERVAL_MS);
}
