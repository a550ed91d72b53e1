/**
 * A stand-in for the platform's store: reads, watches, and nothing that goes wrong.
 *
 * @module
 */
import { createServer } from 'node:http';

const PAGE_ITEMS = 500;

/** Keeps all items and all changes in memory. */
export class Store {
  #items = new Map();

  #history = [];

  #revision = 1;

  #watches = new Set();

  #server = createServer((request, response) => this.#handle(request, response));

  /** @param {number} port - port to listen on */
  async start(port) {
    this.address = `127.0.0.1:${port}`;
    await new Promise((resolve) => {
      this.#server.listen(port, '127.0.0.1', resolve);
    });
  }

  stop() {
    this.#watches.forEach((watch) => clearTimeout(watch.timer));
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** @param {string} key - key. @param {object} value - value, stored as JSON */
  put(key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.#revision += 1;
    const revision = this.#revision;
    const created = this.#items.get(key)?.created ?? revision;
    const item = { key, value: text, revision, created, lease: 0 };
    this.#items.set(key, item);
    this.#history.push(item);
    [...this.#watches].filter(({ prefix }) => key.startsWith(prefix)).forEach(this.#answer);
  }

  #handle(request, response) {
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const prefix = searchParams.get('prefix') ?? '';
    if (pathname === '/api/kv-range') this.#sendRange(prefix, searchParams, response);
    else if (pathname === '/api/kv-watch') this.#addWatch(prefix, searchParams, response);
    else response.writeHead(404).end();
  }

  #sendRange(prefix, searchParams, response) {
    const after = searchParams.get('after') ?? '';
    const found = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = found.slice(0, PAGE_ITEMS);
    const truncated = found.length > items.length;
    this.#sendJson(response, { items, truncated, currentRev: this.#revision });
  }

  #addWatch(prefix, searchParams, response) {
    const after = Number(searchParams.get('after'));
    const watch = { prefix, after, response, timer: undefined };
    watch.timer = setTimeout(() => this.#answer(watch), Number(searchParams.get('waitMs')));
    this.#watches.add(watch);
    if (this.#listEvents(watch).length > 0) this.#answer(watch);
  }

  #listEvents({ prefix, after }) {
    return this.#history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
  }

  #answer = (watch) => {
    clearTimeout(watch.timer);
    this.#watches.delete(watch);
    const events = this.#listEvents(watch);
    this.#sendJson(watch.response, { events, currentRev: this.#revision });
  };

  #sendJson(response, body) {
    response.writeHead(200, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify(body));
  }
}
