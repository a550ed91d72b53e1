import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { PassThrough } from 'node:stream';
import t from 'tap';
import { STREAM_HEADERS } from '../../test/support/caller_hosts.js';
import { FakeEntryHost, sendJson, sendRefusal } from '../../test/support/fake_entry_host.js';
import type { FakeHandler } from '../../test/support/fake_entry_host.js';
import { runCli } from './_cli.js';

const KEY = 'never-shown';

/** Runs a command and returns its exit code and its output. */
async function runCommand(argv: readonly string[], env: Record<string, string> = {}) {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const exitCode = await runCli(argv, { stdout, stderr, env });
  const read = (stream: PassThrough): string => String(stream.read() ?? '');
  return { exitCode, stdout: read(stdout), stderr: read(stderr) };
}

async function startHost(t: { teardown: (end: () => unknown) => void }, handle: FakeHandler) {
  const host = await FakeEntryHost.start();
  host.handle = (request, response) => {
    if (request.path !== '/v1/requests') {
      handle(request, response);
      return;
    }
    const entryHost = { id: 'e', url: host.url };
    sendJson(response, 200, { id: 'r-1', entryHost, entryHosts: [], keepMs: 1000 });
  };
  t.teardown(() => host.close());
  return host;
}

function writeEvents(texts: readonly string[]): string {
  const events = texts.map((content) => JSON.stringify({ choices: [{ delta: { content } }] }));
  return [...events, '[DONE]'].map((data) => `data: ${data}\n\n`).join('');
}

t.test('call prints the text of a streamed answer', async (t) => {
  const host = await startHost(t, (request, response) =>
    response.writeHead(200, STREAM_HEADERS).end(writeEvents(['Damp ', 'in the ', 'näxt room'])),
  );
  const argv = [
    'call',
    '--url',
    host.url,
    '--model',
    'm',
    '--stream',
    '--work-kind',
    'summary',
    'Hi',
  ];
  const result = await runCommand(argv, { MONSOONHALL_KEY: KEY });
  t.strictSame(result, { exitCode: 0, stdout: 'Damp in the näxt room\n', stderr: '' });
  const [call] = host.listReceived('POST', '/v1/chat/completions');
  t.match(call?.headers, { authorization: `Bearer ${KEY}`, 'work-kind': 'summary' });
  t.match(JSON.parse(call?.body ?? ''), {
    model: 'm',
    stream: true,
    messages: [{ role: 'user', content: 'Hi' }],
  });
});

t.test('call sends a request to a plain service unchanged', async (t) => {
  const host = await startHost(t, (request, response) => response.writeHead(200).end('dry'));
  const argv = ['call', '--url', host.url, '--key', KEY, '--service', 'case-app'];
  const result = await runCommand([...argv, '--path', '/status/7?full=1']);
  t.strictSame(result, { exitCode: 0, stdout: 'dry\n', stderr: '' });
  const [call] = host.listReceived('GET', '/v1/services/case-app/status/7');
  t.equal(call?.query.get('full'), '1');
});

t.test('call exports its span and propagates the trace context to the entry host', async (t) => {
  const folder = mkdtempSync(path.join(tmpdir(), 'monsoonhall-'));
  t.teardown(() => rmSync(folder, { recursive: true }));
  const traceFile = path.join(folder, 'spans.jsonl');
  const traceId = '0af7651916cd43dd8448eb211c80319c';
  const host = await startHost(t, (request, response) => response.writeHead(200).end('dry'));
  const argv = ['call', '--url', host.url, '--key', KEY, '--service', 'case-app', '--path', '/'];
  const env = { TRACEPARENT: `00-${traceId}-b7ad6b7169203331-01` };
  await runCommand([...argv, '--trace-file', traceFile], env);
  const span = JSON.parse(readFileSync(traceFile, 'utf8')) as { spanId: string };
  t.match(span, { traceId, parentSpanId: 'b7ad6b7169203331', name: 'caller' });
  const [call] = host.listReceived('GET', '/v1/services/case-app/');
  t.equal(call?.headers.traceparent, `00-${traceId}-${span.spanId}-01`);
});

/** Response of the entry host, expected exit code and expected line on stderr. */
const OUTCOMES: readonly (readonly [FakeHandler, number, RegExp])[] = [
  [
    (request, response) =>
      sendRefusal(response, 503, { code: 'queue_full', run: 'not_run', retryAfterMs: 2000 }),
    3,
    /^monsoonhall call: refused, it has not run: .*\[queue_full\]; try again in 2000 ms \(request r-1\)\n$/,
  ],
  [
    (request, response) => sendRefusal(response, 502, { code: 'owner_gone', run: 'may_have_run' }),
    4,
    /^monsoonhall call: it may have run: .*\[owner_gone\] \(request r-1\)\n$/,
  ],
  [
    (request, response) =>
      sendRefusal(response, 502, { code: 'backend_server_failed', run: 'ran' }),
    5,
    /^monsoonhall call: it ran, but its answer is lost: .*\[backend_server_failed\]/,
  ],
  [
    (request, response) => response.writeHead(500).end('broken'),
    1,
    /^monsoonhall call: the backend server answered 500\n$/,
  ],
];

t.test('call reports each outcome by its exit code and one line', async (t) => {
  for (const [handle, exitCode, line] of OUTCOMES) {
    const host = await startHost(t, handle);
    const result = await runCommand([
      'call',
      '--url',
      host.url,
      '--key',
      KEY,
      '--model',
      'm',
      'Hi',
    ]);
    t.equal(result.exitCode, exitCode);
    t.match(result.stderr, line);
    t.notMatch(result.stderr, KEY);
  }
});

/** Invalid arguments and the expected lines on stderr. */
const FAULTS: readonly (readonly [readonly string[], readonly RegExp[]])[] = [
  [[], [/^--url /, /^--key /, /^--model, --service: one of them/]],
  [
    ['--model', 'm', '--service', 's'],
    [/^--url /, /^--key /, /not both/, /^PROMPT/, /^--path/],
  ],
  [
    ['--url', 'ftp://x', '--key', KEY, '--model', 'm', '--deadline-ms', '1s', 'Hi'],
    [/^--url .*got "ftp:\/\/x"/, /^--deadline-ms: .*got "1s"/],
  ],
  [['--bogus'], [/^monsoonhall: Unsupported option name \("--bogus"\); see monsoonhall --help$/]],
];

t.test('call reports each invalid setting on its own line and exits with 2', async (t) => {
  for (const [argv, expected] of FAULTS) {
    const { exitCode, stdout, stderr } = await runCommand(['call', ...argv]);
    t.equal(exitCode, 2);
    t.equal(stdout, '');
    const lines = stderr.trimEnd().split('\n');
    t.equal(lines.length, expected.length, stderr);
    expected.forEach((line, index) => t.match(lines[index], line));
    t.notMatch(stderr, KEY);
  }
});
