/**
 * Tests requests through a peer while the real link between the two hosts is silent.
 *
 * @module
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as setTimeoutPromise } from 'node:timers/promises';
import t from 'tap';
import type { Test } from 'tap';
import { HttpDirectBackendClient } from '../../src/adapters/direct_http/mod.js';
import { TcpServerProbe } from '../../src/adapters/server_probe/mod.js';
import { Reachability } from '../../src/ports/mod.js';
import { CutProxy, LinkFault } from '../fleet/mod.js';
import { FakeProbe } from '../support/direct_ends.js';
import { SeededRandom } from '../support/fakes.js';
import {
  buildRequest,
  collectEvents,
  CutBackend,
  startHost,
  TestDialect,
  waitFor,
} from '../support/path_hosts.js';
import type { TestHost } from '../support/path_hosts.js';

const FILE_LIMIT_MS = 120_000;

const EVENTS = 70;

const EVENT_INTERVAL_MS = 50;

const MIN_SILENCE_MS = 500;

const MAX_SILENCE_MS = 2_000;

/** Latest moment at which a link falls silent, in milliseconds. */
const MAX_START_MS = 1_500;

const STREAMS = 6;

const SEEDS = [11, 12, 13, 14, 15, 16];

t.setTimeout(FILE_LIMIT_MS);

interface SilentLink {
  readonly cut: TestHost;
  readonly peer: TestHost;
  readonly proxy: CutProxy;
  /** Address of a server that only the peer reaches. */
  readonly address: string;
  /** Requests that the server got, and connections that closed before its answer. */
  readonly counts: { requests: number; closes: number };
}

/** Starts a server whose answer takes its time. */
async function startServer(t: Test, counts: SilentLink['counts']): Promise<string> {
  const server = createServer((request, response) => {
    Object.assign(counts, { requests: counts.requests + 1 });
    response.writeHead(200, { 'x-id': 'r-1' });
    let id = 0;
    const timer = setInterval(() => {
      id += 1;
      response.write(`id: ${id}\n\n`);
      if (id < EVENTS) return;
      clearInterval(timer);
      response.end();
    }, EVENT_INTERVAL_MS);
    request.resume();
    response.once('close', () => {
      clearInterval(timer);
      if (id < EVENTS) Object.assign(counts, { closes: counts.closes + 1 });
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts two hosts; the one that is cut from the server dials the other through a proxy. */
async function startSilentLink(t: Test, resumesExchanges = true): Promise<SilentLink> {
  const counts = { requests: 0, closes: 0 };
  const address = await startServer(t, counts);
  const direct = new HttpDirectBackendClient(new TestDialect());
  t.teardown(() => direct.close());
  const probe = new FakeProbe();
  probe.fixedResult = Reachability.Unknown;
  const changes = { resumesExchanges };
  const cut = await startHost(t, 'cut', new CutBackend(), probe, changes);
  const peer = await startHost(t, 'peer', direct, new TcpServerProbe(), changes);
  const peerPort = Number(new URL(peer.network.identity.peerUrl).port);
  const proxy = new CutProxy({ host: '127.0.0.1', port: peerPort });
  const port = await proxy.open();
  t.teardown(() => proxy.close());
  cut.network.setPeerUrls([`ws://127.0.0.1:${port}`]);
  await waitFor(() => cut.network.listLinkedPeers().length === 1);
  const request = buildRequest(address, Buffer.alloc(0));
  await collectEvents((listener) => cut.hostPaths.client.send(request, listener));
  await waitFor(() => cut.paths.isCut('s-1'));
  return { cut, peer, proxy, address, counts };
}

const WHOLE = Array.from({ length: EVENTS }, (_, at) => `id: ${at + 1}\n\n`).join('');

/** @returns how many of the answers were whole, and how long the link was silent */
async function playSilence(t: Test, fault: LinkFault, seed: number): Promise<string> {
  const { cut, proxy, address, counts } = await startSilentLink(t);
  const random = new SeededRandom(seed);
  const request = { ...buildRequest(address, Buffer.alloc(0)), deadlineMs: 20_000 };
  const answers = Array.from({ length: STREAMS }, () =>
    collectEvents((listener) => cut.hostPaths.client.send(request, listener)),
  );
  await setTimeoutPromise(random.nextFraction() * MAX_START_MS);
  proxy.setFault(fault);
  const silentMs = MIN_SILENCE_MS + random.nextFraction() * (MAX_SILENCE_MS - MIN_SILENCE_MS);
  await setTimeoutPromise(silentMs);
  proxy.setFault(LinkFault.None);
  const results = await Promise.all(answers);
  const whole = results.filter(
    ({ body, events }) => body === WHOLE && events.at(-1) === 'complete',
  );
  t.comment(`${fault} for ${Math.round(silentMs)} ms: ${whole.length} of ${STREAMS} whole`);
  return `${whole.length} whole, ${counts.requests} runs`;
}

[LinkFault.Held, LinkFault.Silent, LinkFault.SilentOld].forEach((fault) => {
  t.test(`answers through a peer end whole beside a link that is ${fault}`, async (t) => {
    // Guards against answers that break off since the link between two sound hosts was replaced.
    const results = await Promise.all(SEEDS.map((seed) => playSilence(t, fault, seed)));
    t.same(
      results,
      SEEDS.map(() => `${STREAMS} whole, ${STREAMS} runs`),
    );
  });
});

t.test('a request that a silent link lost is known not to have been sent', async (t) => {
  // Guards against writes that are told 502 although no server has ever seen them.
  const { cut, proxy, address, counts } = await startSilentLink(t);
  proxy.setFault(LinkFault.SilentOld);
  const request = { ...buildRequest(address, Buffer.alloc(0)), deadlineMs: 20_000 };
  const { events } = await collectEvents((listener) =>
    cut.hostPaths.client.send(request, listener),
  );
  t.same(events, ['not_sent']);
  t.equal(counts.requests, 0);
});

t.test('a cancel that a silent link lost reaches the server with the next link', async (t) => {
  // Guards against servers that work on for callers who have gone.
  const { cut, peer, proxy, address, counts } = await startSilentLink(t);
  const request = { ...buildRequest(address, Buffer.alloc(0)), deadlineMs: 20_000 };
  let body = '';
  const exchange = cut.hostPaths.client.send(request, {
    onNotice: () => undefined,
    onHead: () => undefined,
    onBody: (bytes) => {
      body += bytes.toString();
    },
    onComplete: () => undefined,
    onFailure: () => undefined,
  });
  await waitFor(() => body !== '');
  proxy.setFault(LinkFault.SilentOld);
  exchange.cancel();
  await waitFor(() => peer.hostPaths.server.exchangeCount === 0);
  await waitFor(() => counts.closes === 1);
  t.equal(cut.hostPaths.proxies.exchangeCount, 0);
});

t.test('requests of a host that is gone end at the peer', async (t) => {
  // Guards against runs that outlive their asker for good.
  const { cut, peer, proxy, address } = await startSilentLink(t);
  const request = { ...buildRequest(address, Buffer.alloc(0)), deadlineMs: 20_000 };
  collectEvents((listener) => cut.hostPaths.client.send(request, listener));
  await waitFor(() => peer.hostPaths.server.exchangeCount === 1);
  proxy.setFault(LinkFault.Cut);
  await waitFor(() => peer.hostPaths.server.exchangeCount === 0);
  t.equal(peer.network.listLinkedPeers().length, 0);
});

t.test('a former version of a host has its requests end with the link', async (t) => {
  // Guards against messages that a former version would close the link for.
  const { cut, peer, proxy, address } = await startSilentLink(t, false);
  const request = { ...buildRequest(address, Buffer.alloc(0)), deadlineMs: 20_000 };
  const answer = collectEvents((listener) => cut.hostPaths.client.send(request, listener));
  await waitFor(() => peer.hostPaths.server.exchangeCount === 1);
  proxy.setFault(LinkFault.SilentOld);
  t.equal((await answer).events.at(-1), 'broken');
  await waitFor(() => peer.hostPaths.server.exchangeCount === 0);
  t.ok(true, 'and end at the peer');
});
