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
