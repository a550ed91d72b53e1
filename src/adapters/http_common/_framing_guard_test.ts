import { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';
import t from 'tap';
import { FramingGuard } from './_framing_guard.js';

function countTimers(): number {
  return process.getActiveResourcesInfo().filter((name) => name === 'Timeout').length;
}

t.test('FramingGuard gives the answer that follows an informational one its time', async (t) => {
  // Guards against calls that fail a second after their server has said that it works on them.
  const socket = new EventEmitter() as Socket;
  const guard = new FramingGuard(socket, () => t.fail('the connection is sound'));
  const timerCount = countTimers();
  guard.recordInformation();
  socket.emit('data', Buffer.from('HTTP/1.1 102 Processing\r\n\r\n'));
  t.equal(countTimers(), timerCount);
  socket.emit('data', Buffer.from('HTTP/1.1 2'));
  t.equal(countTimers(), timerCount + 1, 'the head of the final answer is limited again');
  guard.stop();
  t.equal(countTimers(), timerCount);
});

t.test(
  'FramingGuard limits the time of a head that begins behind an informational one',
  async (t) => {
    // Guards against a server that stops inside a head until the call's deadline, as the part of it
    // came together with an informational answer.
    const socket = new EventEmitter() as Socket;
    const guard = new FramingGuard(socket, () => t.fail('the connection is sound'));
    const timerCount = countTimers();
    guard.recordInformation();
    socket.emit('data', Buffer.from('HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n'));
    t.equal(countTimers(), timerCount + 1);
    guard.stop();
  },
);

t.test('FramingGuard knows the end of an informational answer that comes in parts', async (t) => {
  // Guards against calls that fail a second after their server has said that it works on them.
  const head = 'HTTP/1.1 102 Processing\r\n\r\n';
  for (let length = 1; length <= head.length; length += 1) {
    const socket = new EventEmitter() as Socket;
    const guard = new FramingGuard(socket, () => t.fail('the connection is sound'));
    const timerCount = countTimers();
    if (length < head.length) socket.emit('data', Buffer.from(head.slice(0, -length)));
    guard.recordInformation();
    socket.emit('data', Buffer.from(head.slice(-length)));
    t.equal(countTimers(), timerCount, `the last ${length} bytes`);
    guard.stop();
  }
});
