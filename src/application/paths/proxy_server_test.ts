import t from 'tap';
import { FakeBackend, FakeProbe } from '../../../test/support/direct_ends.js';
import {
  buildIdentity,
  FakePeerHub,
  FakePeerNetwork,
} from '../../../test/support/fake_peer_network.js';
import { FakeLog, FakeMetrics } from '../../../test/support/fakes.js';
import { settle, VirtualClock } from '../../../test/support/virtual_clock.js';
import { BackendFailure, PeerMessageType } from '../../ports/mod.js';
import type { ProxyReplyMessage } from '../../ports/mod.js';
import { ServerPaths } from '../../domain/paths/mod.js';
import { OwnReach } from './own_reach.js';
import { ProxyServer } from './proxy_server.js';

/** A peer that sends requests through another one. */
function createPair(backend: FakeBackend): {
  readonly server: ProxyServer;
  readonly replies: ProxyReplyMessage[];
  readonly send: (exchangeId: number, urgency: number) => void;
  readonly clock: VirtualClock;
} {
  const hub = new FakePeerHub();
  const clock = new VirtualClock();
  const asker = new FakePeerNetwork(hub, buildIdentity('asker'));
  const peer = new FakePeerNetwork(hub, buildIdentity('peer'));
  const probe = new FakeProbe();
  const server = new ProxyServer({
    peers: peer,
    clock,
    log: new FakeLog(),
    metrics: new FakeMetrics(),
    probe,
    ownReach: new OwnReach({ clock, probe, paths: new ServerPaths(), listServers: () => [] }),
    paths: new ServerPaths(),
    findIncarnation: () => undefined,
    checkServer: () => undefined,
    backend,
    mayReceive: (id) => id !== 'leaving',
    recordNotice: () => undefined,
  });
  const replies: ProxyReplyMessage[] = [];
  asker.handle(PeerMessageType.ProxyReply, (_from, reply) => replies.push(reply));
  const send = (exchangeId: number, urgency: number): void => {
    asker.send('peer-1', {
      type: PeerMessageType.ProxyRequest,
      exchangeId,
      request: {
        requestId: `r-${exchangeId}`,
        method: 'GET',
        target: '/a/1',
        headers: [],
        body: new Uint8Array(),
        address: '10.0.0.1:80',
        serverId: 's-1',
        incarnationId: 's-1',
        accountId: undefined,
        deadlineMs: 1_000,
        lastEventId: undefined,
        urgency,
      },
    });
  };
  return { server, replies, send, clock };
}

t.test('a request that can not be sent takes no room', async (t) => {
  // Guards against room that is lost for good with each request that fails at once.
  const backend = new FakeBackend();
  backend.onSend = () => {
    throw new Error('Cannot send: test');
  };
  const { server, replies, send } = createPair(backend);
  for (let id = 1; id <= 300; id += 1) send(id, 0);
  await settle();
  t.equal(server.exchangeCount, 0);
  t.equal(replies.length, 300);
  t.ok(replies.every(({ event }) => 'isBusy' in event && !event.isBusy));
});

t.test('requests beyond the bound wait, and are refused as not sent', async (t) => {
  const backend = new FakeBackend();
  const { server, replies, send, clock } = createPair(backend);
  for (let id = 1; id <= 200; id += 1) send(id, id % 7);
  await settle();
  t.equal(backend.sent.length, 96);
  t.equal(server.exchangeCount, 96 + 64);
  await clock.advance(300);
  t.equal(server.exchangeCount, 96);
  t.equal(replies.length, 104);
  t.ok(replies.every(({ event }) => 'isBusy' in event && event.isBusy));
});

t.test('the waiting time is taken off the deadline that a server is told', async (t) => {
  const backend = new FakeBackend();
  const { send, clock } = createPair(backend);
  for (let id = 1; id <= 97; id += 1) send(id, 0);
  await clock.advance(200);
  backend.sent[0]?.sendResponse();
  t.equal(backend.sent[96]?.request.deadlineMs, 800);
});

t.test('a peer that stops sends new requests of peers elsewhere', async (t) => {
  // Guards against requests that a peer takes although it ends before their answers.
  const backend = new FakeBackend();
  const { server, replies, send } = createPair(backend);
  send(1, 0);
  await settle();
  server.refuseNewRequests();
  send(2, 0);
  await settle();
  t.equal(backend.sent.length, 1);
  t.match(
    replies.map(({ exchangeId, event }) => ({ exchangeId, event })),
    [{ exchangeId: 2, event: { failure: BackendFailure.NotSent, isBusy: true } }],
  );
  backend.sent[0]?.sendResponse();
  await settle();
  t.equal(server.exchangeCount, 0, 'the former request is answered');
});

t.test('peers hear of the requests that a peer cuts at the end of its stop', async (t) => {
  // Guards against callers that wait for an answer which a process that has ended can't send.
  const backend = new FakeBackend();
  const { server, replies, send } = createPair(backend);
  for (let id = 1; id <= 98; id += 1) send(id, 0);
  await settle();
  server.endAll();
  await settle();
  const failures = replies.flatMap(({ event }) => ('failure' in event ? event.failure : []));
  t.equal(failures.filter((failure) => failure === BackendFailure.Broken).length, 96);
  t.equal(failures.filter((failure) => failure === BackendFailure.NotSent).length, 2);
  t.ok(backend.sent.every(({ isCancelled }) => isCancelled));
  t.equal(server.exchangeCount, 0);
});
