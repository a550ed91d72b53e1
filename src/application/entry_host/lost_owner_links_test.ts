/**
 * Tests answers that arrive through their owner, and whose link to it is lost for a moment.
 *
 * @module
 */
import fc from 'fast-check';
import t from 'tap';
import {
  buildExpectedAnswer,
  FakeBackend,
  FakeBackendClient,
} from '../../../test/support/fake_backend.js';
import { buildIdentity, FakePeerHub } from '../../../test/support/fake_peer_network.js';
import { ACCOUNT, OwnerHost } from '../../../test/support/owner_hosts.js';
import type { OwnerWorld } from '../../../test/support/owner_hosts.js';
import { ProcessGate } from '../../../test/support/process_gate.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { BackendCallError, BackendCallStage } from '../../ports/mod.js';

const BODY = 'body';

const WHOLE = buildExpectedAnswer(BODY);

/** Time until the answer has begun, in milliseconds. */
const BEGUN_MS = 60;

/** Time within which a caller has learnt that its owner is gone, in milliseconds. */
const END_MS = 3_500;

/** A backend server whose streams can't be read on. */
class PlainBackendClient extends FakeBackendClient {
  override resume(): Promise<never> {
    return Promise.reject(new BackendCallError(BackendCallStage.Answering, 'no streams'));
  }
}

/** The owner of a request, and the host that its caller has reached. */
class Pair {
  readonly clock = new VirtualClock();

  readonly hub = new FakePeerHub();

  readonly backend = new FakeBackend(this.clock);

  readonly owner: OwnerHost;

  readonly caller = new AbortController();

  text = '';

  end: string | undefined;

  readonly #other: OwnerHost;

  constructor() {
    const client = new PlainBackendClient(this.backend, new ProcessGate());
    const { clock, hub, backend } = this;
    const world: OwnerWorld = { clock, hub, backend, client, hosts: [] };
    this.owner = new OwnerHost(buildIdentity('owner', '0000000000000001'), world);
    this.#other = new OwnerHost(buildIdentity('other', '0000000000000002'), world);
    this.owner.start();
    this.#other.start();
  }

  /** Sends a call to the other host, and reads its answer until its end. */
  async call(workKind: string): Promise<void> {
    const { id } = await this.#assign();
    try {
      const { body } = await this.#other.gateway.submit({
        account: ACCOUNT,
        requestId: id,
        serviceId: 'desk',
        workKind,
        method: 'POST',
        path: '/notices',
        headers: {},
        body: Buffer.from(BODY),
        deadlineMs: undefined,
        traceparent: undefined,
        callerGone: this.caller.signal,
      });
      for await (const bytes of body) this.text += Buffer.from(bytes).toString();
      this.end = 'whole';
    } catch (error) {
      this.end = error instanceof SchedulerError ? error.kind : String(error);
    }
  }

  /** Draws IDs until the owner has one. */
  async #assign(): Promise<{ readonly id: string }> {
    for (;;) {
      const assignment = await this.owner.gateway.assign(ACCOUNT, undefined);
      if (assignment.entryHost.url === this.owner.identity.url) return assignment;
    }
  }

  stop(): void {
    this.owner.kill();
    this.#other.kill();
  }
}

async function startAnswer(workKind = 'lookup'): Promise<Pair> {
  const pair = new Pair();
  pair.call(workKind).catch(() => undefined);
  await pair.clock.advance(BEGUN_MS);
  return pair;
}

const lossArbitrary = fc.record({
  workKind: fc.constantFrom('lookup', 'notice'),
  /** Time from the begin of the answer to the loss. */
  afterMs: fc.integer({ min: 0, max: 70 }),
  wasSilent: fc.boolean(),
  /** Times for which the link is lost, one after the other. */
  lostMs: fc.array(fc.integer({ min: 1, max: 2_700 }), { minLength: 1, maxLength: 3 }),
});

t.test('answers are whole after the link to their owner was lost for a moment', async (t) => {
  // Guards against answers that are given up although their owner still has them.
  let midway = 0;
  await fc.assert(
    fc.asyncProperty(lossArbitrary, async ({ workKind, afterMs, wasSilent, lostMs }) => {
      const pair = await startAnswer(workKind);
      await pair.clock.advance(afterMs);
      if (pair.text !== '' && pair.end === undefined) midway += 1;
      for (const ms of lostMs) {
        pair.hub.cut('owner', 'other', wasSilent);
        await pair.clock.advance(ms);
        pair.hub.heal('owner', 'other');
        await pair.clock.advance(270);
      }
      await pair.clock.advance(500);
      pair.stop();
      const { text, end, backend } = pair;
      return text === WHOLE && end === 'whole' && backend.runs.length === 1;
    }),
    { seed: 33, numRuns: 100 },
  );
  t.ok(midway > 30, `${midway} answers were under way`);
});

t.test('the caller of an owner that is gone learns it in time', async (t) => {
  // Guards against callers that wait for an owner which does not come back.
  const pair = await startAnswer();
  pair.owner.kill();
  await pair.clock.advance(END_MS);
  t.ok(
    pair.end === ErrorKind.OwnerUnreachable || pair.end === ErrorKind.OwnerGone,
    String(pair.end),
  );
  t.ok(WHOLE.startsWith(pair.text));
  pair.stop();
});

t.test('nobody asks for the rest of an answer whose caller has gone', async (t) => {
  // Guards against messages for callers that wait no more.
  const pair = await startAnswer();
  pair.hub.cut('owner', 'other');
  await pair.clock.advance(300);
  pair.caller.abort();
  await pair.clock.advance(300);
  const before = pair.hub.delivered.length;
  pair.hub.heal('owner', 'other');
  await pair.clock.advance(END_MS);
  t.equal(pair.hub.delivered.length, before);
  pair.stop();
});
