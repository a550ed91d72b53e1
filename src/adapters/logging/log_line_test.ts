import fc from 'fast-check';
import t from 'tap';
import { LogLevel } from '../../domain/errors/mod.js';
import { formatLogLine, formatLogValue } from './log_line.js';
import { PinoEventLog } from './pino_event_log.js';

const PAIR = /([A-Za-z0-9_]+)=("(?:[^"\\]|\\.)*"|[^\s"]+)(?: |$)/gy;

/** Parses a line into its pairs; throws when text remains outside a pair. */
function parseLine(line: string): Record<string, string> {
  const matches = [...line.matchAll(PAIR)];
  if (matches.map(([text]) => text).join('') !== line)
    throw new Error(`Cannot parse log line: ${line}`);
  return Object.fromEntries(
    matches.map(([, name = '', value = '']) => [
      name,
      value.startsWith('"') ? (JSON.parse(value) as string) : value,
    ]),
  );
}

function createLog(level: LogLevel) {
  const lines: string[] = [];
  return { lines, log: new PinoEventLog({ level, destination: { write: (s) => lines.push(s) } }) };
}

t.test('formatLogLine() returns one line that can be parsed back', async (t) => {
  // Guards against log injection: a client puts a line break and a forged event into the name
  // of its model, and the refusal that repeats the name writes the forged event to the log.
  const text = fc.string({ unit: 'binary', maxLength: 60 });
  const name = fc.stringMatching(/^[a-z][A-Za-z0-9_]{0,8}$/);
  const value = fc.oneof(text, fc.integer(), fc.boolean());
  fc.assert(
    fc.property(text, fc.dictionary(name, value), (event, fields) => {
      const line = formatLogLine({ time: 'T', level: 'info', event, fields });
      t.notMatch(line, /\p{Cc}|\u2028|\u2029|[\u202a-\u202e]/u);
      const parsed = parseLine(line);
      if (parsed.event !== event || parsed.time !== 'T') return false;
      return Object.entries(fields).every(
        ([key, one]) => !(key in parsed) || parsed[key] === String(one) || key === 'event',
      );
    }),
    { seed: 42, numRuns: 500 },
  );
});

t.test('formatLogLine() never writes keys or prompts', async (t) => {
  const names = ['key', 'apiKey', 'api_key', 'admin-key', 'Authorization', 'prompt', 'body'];
  const fields = Object.fromEntries(names.map((name) => [name, 'hidden']));
  const line = formatLogLine({ time: 'T', level: 'info', event: 'e', fields });
  t.equal(line, 'time=T level=info event=e');
});

t.test('formatLogLine() renames fields that collide with reserved names', async (t) => {
  const fields = { time: 'x', level: 'y', event: 'z', 'a b': 1, gone: undefined };
  const line = formatLogLine({ time: 'T', level: 'info', event: 'e', fields });
  t.equal(line, 'time=T level=info event=e time_=x level_=y event_=z a_b=1');
});

t.test('formatLogValue() truncates and quotes a long value', async (t) => {
  t.equal(formatLogValue('a/b:c'), 'a/b:c');
  t.equal(formatLogValue(''), '""');
  t.equal(formatLogValue('a b'), '"a b"');
  t.equal(formatLogValue('x'.repeat(5000)), `"${'x'.repeat(2048)}…"`);
});

t.test('PinoEventLog writes one line per event at or above its level', async (t) => {
  const { lines, log } = createLog(LogLevel.Info);
  log.write(LogLevel.Debug, 'unseen');
  log.write(LogLevel.Warn, 'peer_suspected', { peer: 'entry-2', silentMs: 2100 });
  log.write(LogLevel.Error, 'bare');
  t.equal(lines.length, 2);
  t.match(
    lines[0],
    /^time=\d{4}-\d\d-\d\dT[\d:.]+Z level=warn event=peer_suspected peer=entry-2 silentMs=2100\n$/,
  );
  t.match(lines[1], /^time=\S+ level=error event=bare\n$/);
});
