/**
 * Stand-in for the platform's store: keys with revisions, ranges and watches over HTTP.
 */
import { createServer } from 'node:http';

const MAX_PAGE_ITEMS = 500;

/** An entry of a replica changes when more than its `sequence` changes. */
function isSameEntry(former, value) {
  if (!former || Buffer.isBuffer(value)) return false;
  const { sequence: before, ...known } = JSON.parse(Buffer.from(former.value, 'base64'));
  const { sequence: now, ...fields } = value;
  return (
    before !== undefined && now !== undefined && JSON.stringify(known) === JSON.stringify(fields)
  );
}

export class Store {
  #items = new Map();

  #history = [];

  #revision = 1;

  #watches = new Set();

  #server = createServer((request, response) => this.#handle(request, response));

  async start() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  /** @param value - an object, which is stored as JSON, or bytes. @returns the revision */
  put(key, value) {
    if (isSameEntry(this.#items.get(key), value)) return this.#revision;
    const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
    return this.#write({ key, value: bytes.toString('base64') });
  }

  remove(key) {
    return this.#items.has(key) ? this.#write({ key, removed: true }) : this.#revision;
  }

  get(key) {
    return this.#items.get(key);
  }

  #write(change) {
    this.#revision += 1;
    const { key } = change;
    const created = this.#items.get(key)?.created ?? this.#revision;
    const item = { ...change, revision: this.#revision, created, lease: 0 };
    if (change.removed) this.#items.delete(key);
    else this.#items.set(key, item);
    this.#history.push(change.removed ? { key, revision: this.#revision, removed: true } : item);
    this.#watches.forEach((watch) => this.#answerWatch(watch, false));
    return this.#revision;
  }

  #handle(request, response) {
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    response.setHeader('Content-Type', 'application/json');
    if (pathname === '/api/kv-range') this.#answerRange(searchParams, response);
    else if (pathname === '/api/kv-watch') this.#addWatch(searchParams, response);
    else if (pathname === '/api/kv-key') this.#answerKey(searchParams, response);
    else response.writeHead(404).end('{}');
  }

  #answerKey(parameters, response) {
    const item = this.#items.get(parameters.get('key'));
    if (!item) response.writeHead(404).end('{}');
    else response.end(JSON.stringify({ ...item, currentRev: this.#revision }));
  }

  #answerRange(parameters, response) {
    const prefix = parameters.get('prefix') ?? '';
    const after = parameters.get('after') ?? '';
    const found = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = found.slice(0, MAX_PAGE_ITEMS);
    const truncated = found.length > items.length;
    response.end(JSON.stringify({ items, truncated, currentRev: this.#revision }));
  }

  #addWatch(parameters, response) {
    const watch = {
      prefix: parameters.get('prefix') ?? '',
      after: Number(parameters.get('after')),
      response,
    };
    watch.timer = setTimeout(
      () => this.#answerWatch(watch, true),
      Number(parameters.get('waitMs')),
    );
    this.#watches.add(watch);
    response.on('close', () => {
      clearTimeout(watch.timer);
      this.#watches.delete(watch);
    });
    this.#answerWatch(watch, false);
  }

  #answerWatch(watch, isOver) {
    const events = this.#history.filter(
      ({ key, revision }) => revision > watch.after && key.startsWith(watch.prefix),
    );
    if (events.length === 0 && !isOver) return;
    clearTimeout(watch.timer);
    this.#watches.delete(watch);
    watch.response.end(JSON.stringify({ events, currentRev: this.#revision }));
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
