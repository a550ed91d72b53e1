/**
 * Tests what callers' sockets receive of answers that end in each way that HTTP/1.1 allows, at the
 * owner of a request and through a peer, over real connections on both sides.
 *
 * @module
 */
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setImmediate as waitForTurn } from 'node:timers/promises';
import t from 'tap';
import type { Test } from 'tap';
import { HttpBackendServerClient } from '../../src/adapters/backend_http/mod.js';
import { CallersListener } from '../../src/adapters/callers_http/mod.js';
import { DEFAULT_HTTP_LIMITS } from '../../src/adapters/http_common/mod.js';
import type { BackendAnswer, BackendCall, ResumePoint } from '../../src/ports/mod.js';
import {
  buildStream,
  checkAnswer,
  LARGE_ANSWER,
  listCases,
  sendCase,
  SMALL_ANSWER,
} from '../support/answer_cases.js';
import type { AnswerCase } from '../support/answer_cases.js';
import { FakeBackend } from '../support/fake_backend.js';
import { buildIdentity, FakePeerHub } from '../support/fake_peer_network.js';
import { FakeLog, FakeMetrics, FakeTracer } from '../support/fakes.js';
import { OwnerHost } from '../support/owner_hosts.js';
import type { OwnerWorld } from '../support/owner_hosts.js';
import { exchangeRaw } from '../support/raw_caller.js';
import type { RawAnswer } from '../support/raw_caller.js';
import { VirtualClock } from '../support/virtual_clock.js';

/** Calls the server of the test, whatever the address of the backend server is. */
class LocalClient extends HttpBackendServerClient {
  url = '';

  override dispatch(call: BackendCall): Promise<BackendAnswer> {
    const backendServer = { ...call.backendServer, url: this.url };
    return super.dispatch({ ...call, backendServer, honoursContinue: false });
  }

  override resume(point: ResumePoint): Promise<BackendAnswer> {
    return super.resume({ ...point, backendServer: { ...point.backendServer, url: this.url } });
  }
}

/** Two entry hosts before one server. */
class OwnFleet {
  current: AnswerCase | undefined;

  readonly client = new LocalClient();

  readonly clock = new VirtualClock();

  readonly world: OwnerWorld = {
    clock: this.clock,
    hub: new FakePeerHub(),
    backend: new FakeBackend(this.clock),
    client: this.client,
    hosts: [],
  };

  readonly ports: number[] = [];

  async start(t: Test): Promise<void> {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', () => this.#serve(socket));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    this.client.url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    t.teardown(() => {
      this.client.close();
      server.close();
    });
    for (const incarnation of ['00000000000000aa', '00000000000000bb']) {
      const identity = buildIdentity(`entry-${incarnation}`, incarnation);
      const host = new OwnerHost(identity, this.world);
      host.start();
      const listener = new CallersListener({
        gateway: host.gateway,
        clock: this.clock,
        log: new FakeLog(),
        metrics: new FakeMetrics(),
        tracer: new FakeTracer(),
        limits: DEFAULT_HTTP_LIMITS,
      });
      this.ports.push((await listener.start('127.0.0.1', 0)).port);
      t.teardown(() => {
        host.kill();
        return listener.stop();
      });
    }
  }

  /** Sends a call whose request ID the first host owns. */
  async call(sent: AnswerCase, host: number): Promise<RawAnswer> {
    this.current = sent;
    const owner = this.world.hosts[0] as OwnerHost;
    const account = owner.gateway.authenticate('key');
    const { id } = await owner.gateway.assign(account, undefined);
    const head = [
      'GET /v1/services/desk/a HTTP/1.1',
      'Host: x',
      'Authorization: Bearer key',
      'Work-Kind: lookup',
      `Request-Id: ${id}`,
    ].join('\r\n');
    return this.#advanceUntil(exchangeRaw(this.ports[host] as number, `${head}\r\n\r\n`));
  }

  #serve(socket: Socket): void {
    if (this.current) sendCase(socket, 'r-1', this.current);
  }

  async #advanceUntil<Value>(step: Promise<Value>): Promise<Value> {
    let isDone = false;
    step.finally(() => {
      isDone = true;
    });
    while (!isDone) {
      await waitForTurn();
      await this.clock.advance(1);
    }
    return step;
  }
}

const KINDS: Readonly<Record<string, { whole: string; isEventStream: boolean }>> = {
  'streams of LF lines': { whole: buildStream('\n'), isEventStream: true },
  'streams of CRLF lines': { whole: buildStream('\r\n'), isEventStream: true },
  'streams of CR lines': { whole: buildStream('\r'), isEventStream: true },
  'small plain answers': { whole: SMALL_ANSWER, isEventStream: false },
  'large plain answers': { whole: LARGE_ANSWER, isEventStream: false },
};

['no own answer', 'no own answer through a peer'].forEach((answer, host) => {
  t.test(`${answer} looks more complete than its server said`, async (t) => {
    // Guards against an answer that its server broke off and that looks complete to the caller.
    for (const [kind, { whole, isEventStream }] of Object.entries(KINDS)) {
      for (const sent of listCases(whole, isEventStream)) {
        const fleet = new OwnFleet();
        await fleet.start(t);
        checkAnswer(t, kind, sent, { answer: await fleet.call(sent, host), requests: 1 });
      }
    }
  });
});
