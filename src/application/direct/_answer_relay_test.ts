import t from 'tap';
import { FakeReply } from '../../../test/support/direct_ends.js';
import { ByteBudget } from '../../domain/memory/mod.js';
import { BufferedRelay, StreamRelay } from './_answer_relay.js';

const HEAD = {
  status: 200,
  headers: [],
  isAuthentic: true,
  isEventStream: false,
  isFramed: true,
  load: undefined,
};

const PART = Buffer.alloc(60, 'a');

function createBuffered(budget: ByteBudget): { relay: BufferedRelay; reply: FakeReply } {
  const reply = new FakeReply();
  const relay = new BufferedRelay({ head: HEAD, reply, onBegin: () => undefined, budget });
  return { relay, reply };
}

function createStream(budget: ByteBudget): StreamRelay {
  return new StreamRelay({
    head: HEAD,
    reply: new FakeReply(),
    nowMs: () => 0,
    onBegin: () => undefined,
    budget,
  });
}

// Guards against a host that ends for lack of memory, as it keeps many answers until they are complete.
t.test('an answer for which there is no room is relayed as it arrives', async (t) => {
  const budget = new ByteBudget(100);
  const [first, second] = [createBuffered(budget), createBuffered(budget)];
  first.relay.write(PART);
  second.relay.write(PART);
  t.notOk(first.reply.hasStarted);
  t.equal(second.reply.body.length, 60, 'it has begun');
  t.equal(budget.usedBytes, 60);
  first.relay.end();
  first.relay.release();
  t.equal(first.reply.body.length, 60);
  t.equal(budget.usedBytes, 0);
});

// Guards against a host that ends for lack of memory, as servers send long events in many streams at once.
t.test('the incomplete events of all streams together have a bound', async (t) => {
  const budget = new ByteBudget(100);
  const [first, second] = [createStream(budget), createStream(budget)];
  first.write(PART);
  t.throws(() => second.write(PART), { name: 'RangeError' });
  first.write(Buffer.from('\n\n'));
  t.equal(budget.usedBytes, 0, 'a complete event makes room');
  second.restart();
  second.write(PART);
  second.release();
  t.equal(budget.usedBytes, 0);
});
