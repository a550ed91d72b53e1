import t from 'tap';
import { BackendCallStage } from '../../ports/mod.js';
import { RawEngine } from './_raw_engine.js';

const HEAD = 'HTTP/1.1 200 OK\r\nStream-Id: s-1\r\n';
const CHUNKS = '2\r\nok\r\n0\r\n\r\n';

t.test('dispatch() and resume() fail on an answer in a coding that is not decoded', async (t) => {
  // Guards against coded bytes that reach the caller as the plain body, without their header.
  const cases = { gzip: 'ok', 'gzip, chunked': CHUNKS, 'chunked, gzip': CHUNKS };
  for (const [coding, body] of Object.entries(cases)) {
    const engine = await RawEngine.start(t, `${HEAD}Transfer-Encoding: ${coding}\r\n\r\n${body}`);
    t.equal(await engine.run(), BackendCallStage.Answering, coding);
    t.equal(await engine.resume(), BackendCallStage.Answering, coding);
  }
});

t.test('dispatch() and resume() read an answer whose codings change nothing', async (t) => {
  // Guards against sound answers that are refused for the way in which their coding is written.
  const cases = { 'identity, chunked': CHUNKS, identity: 'ok' };
  for (const [coding, body] of Object.entries(cases)) {
    const engine = await RawEngine.start(t, `${HEAD}Transfer-Encoding: ${coding}\r\n\r\n${body}`);
    t.equal(await engine.run(), 'ok', coding);
    t.equal(await engine.resume(), 'ok', coding);
  }
});
