/**
 * Raw clients: each call writes one request on a channel of its own or on a kept one.
 */
import { connect } from 'node:net';

let lastId = 0;

export function nextId() {
  lastId += 1;
  return `${process.pid.toString(16)}-${lastId}`;
}

/** @returns a channel, once it is open */
export function openChannel(address) {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port: Number(port) }, () => resolve(socket));
    socket.once('error', reject);
  });
}

/** @returns the bytes of a request */
export function buildRequest({
  id,
  method = 'POST',
  target,
  key = 'key-of-firm-a',
  deadlineMs = 10_000,
  headers = {},
  body = '',
}) {
  const lines = [
    `${method} ${target} HTTP/1.1`,
    'Host: api.example',
    `Attempt-Id: ${id}`,
    `Deadline-Ms: ${deadlineMs}`,
    ...(key ? [`Authorization: Bearer ${key}`] : []),
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ...(method === 'GET' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
    '',
    '',
  ];
  return lines.join('\r\n') + body;
}

function parseHead(text) {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return undefined;
  const [first, ...lines] = text.slice(0, end).split('\r\n');
  const headers = Object.fromEntries(
    lines.map((line) => {
      const index = line.indexOf(':');
      return [line.slice(0, index).toLowerCase(), line.slice(index + 1).trim()];
    }),
  );
  return { status: Number(first.split(' ')[1]), headers, rest: text.slice(end + 4) };
}

function isMarked({ status, headers }) {
  const hasNoBody = status === 204 || status === 304;
  return hasNoBody || 'content-length' in headers || 'transfer-encoding' in headers;
}

/** @returns the body, once its last chunk is there */
function readChunks(text) {
  let body = '';
  let index = 0;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', index);
    if (lineEnd < 0) return undefined;
    const size = parseInt(text.slice(index, lineEnd), 16);
    const start = lineEnd + 2;
    if (text.length < start + size + 2) return undefined;
    if (size === 0) return body;
    body += text.slice(start, start + size);
    index = start + size + 2;
  }
}

/** @returns the answer, once it is whole by its length or its last chunk */
function parseAnswer(text) {
  const head = parseHead(text);
  if (!head || !isMarked(head)) return undefined;
  const { status, headers, rest } = head;
  if (headers['transfer-encoding'] === 'chunked') {
    const body = readChunks(rest);
    return body === undefined ? undefined : { status, headers, body };
  }
  const length = Number(headers['content-length'] ?? 0);
  return rest.length < length ? undefined : { status, headers, body: rest.slice(0, length) };
}

/** Without a length or chunks, an answer ends with its channel, unless that is reset. */
function parseEnd(text, wasReset) {
  const head = parseHead(text);
  if (wasReset || !head || isMarked(head))
    return { status: 0, headers: {}, body: text, isComplete: false };
  return { ...head, body: head.rest, isComplete: true };
}

/**
 * Sends a request on a channel and reads its answer.
 *
 * @returns status, headers and body; status 0 if the channel ends before the answer is whole
 */
export function send(socket, options) {
  return new Promise((resolve) => {
    let text = '';
    let wasReset = false;
    socket.on('error', () => {
      wasReset = true;
    });
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      const answer = parseAnswer(text);
      if (answer) resolve({ ...answer, isComplete: true, endedAtMs: Date.now() });
    });
    socket.on('close', () => resolve({ ...parseEnd(text, wasReset), endedAtMs: Date.now() }));
    socket.write(buildRequest(options), 'latin1');
  });
}

/** Sends a request on a channel of its own. */
export async function call(address, options) {
  let socket;
  try {
    socket = await openChannel(address);
  } catch (error) {
    return { status: 0, headers: {}, body: '', error: error.code, endedAtMs: Date.now() };
  }
  const answer = await send(socket, options);
  socket.destroy();
  return answer;
}
