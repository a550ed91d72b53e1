import t from 'tap';
import { FakeLog } from '../../../test/support/fakes.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { LogLevel } from '../../domain/errors/mod.js';
import { RateLimitedEventLog } from './mod.js';

t.test('RateLimitedEventLog drops lines above its rate limit and reports how many', async (t) => {
  // Guards against an entry host that answers late under a flood of refused requests because
  // each request writes log lines and formatting them uses up the CPU.
  const clock = new VirtualClock();
  const log = new FakeLog();
  const limited = new RateLimitedEventLog({ log, clock, maxLinesPerSecond: 2 });
  ['a', 'b', 'c', 'd'].forEach((event) => limited.write(LogLevel.Info, event));
  limited.write(LogLevel.Error, 'fault');
  await clock.advance(1_000);
  limited.write(LogLevel.Info, 'e');
  t.same(
    log.lines.map(({ event, fields }) => [event, fields.count]),
    [
      ['a', undefined],
      ['b', undefined],
      ['fault', undefined],
      ['log_lines_left_out', 2],
      ['e', undefined],
    ],
  );
});
