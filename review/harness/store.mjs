/* eslint n/no-sync: "off", no-void: "off", no-console: "off", no-await-in-loop: "off", no-restricted-syntax: "off", no-continue: "off", n/no-process-exit: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", class-methods-use-this: "off", no-underscore-dangle: "off", no-param-reassign: "off", no-plusplus: "off", max-classes-per-file: "off", no-promise-executor-return: "off" */
/**
 * The platform's store in small: rows-tx, rows-get and rows-feed with the limits of the users'
 * pages (a hundred entries and 1 MB a call, RowBytes a value, 500 rows or 1 MB an answer).
 */
import { createServer } from 'node:http';

const ROW_BYTES = 65_536;
const CALL_BYTES = 1_000_000;
const ENTRIES = 100;
const PAGE_ROWS = 500;
const TXN_MS = 3;

const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const nameOf = ({ Table, part = '', Key }) => `${Table}\n${part}\n${Key}`;

/** The index of the first key that isn't below the given one. All keys here are plain ASCII. */
const firstFrom = (keys, key) => {
  let low = 0;
  let high = keys.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (keys[middle] < key) low = middle + 1;
    else high = middle;
  }
  return low;
};

export class Store {
  #rows = new Map();

  /** The keys of each table in ascending order. */
  #keys = new Map();

  #changes = [];

  #version = 0;

  #waiters = new Set();

  /** Writing calls that were refused because of a limit of the pages, for the record. */
  refused = [];

  #server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      void this.#answer(request, Buffer.concat(chunks), response);
    });
    request.on('error', () => {});
    response.on('error', () => {});
  });

  async listen() {
    this.#server.keepAliveTimeout = 120_000;
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** The keys of a table, in ascending order. */
  keysOf(table) {
    const keys = this.#keys.get(table) ?? [];
    this.#keys.set(table, keys);
    return keys;
  }

  /** The stored document of a row, or undefined. */
  documentAt(Table, Key) {
    const row = this.#rows.get(nameOf({ Table, Key }));
    return row && JSON.parse(Buffer.from(row.Value, 'base64').toString());
  }

  /** A write of the operator or of a worker; a document of undefined drops the row. */
  put(Table, Key, document) {
    const name = { Table, part: '', Key };
    if (document === undefined) this.#apply({ Remove: [name] });
    else {
      const Value = Buffer.from(JSON.stringify(document)).toString('base64');
      this.#apply({ Puts: [{ ...name, Value }] });
    }
  }

  #apply({ ExpectRev = [], Puts = [], Remove = [] }) {
    const current = ExpectRev.map((row) => this.#rows.get(nameOf(row)));
    if (ExpectRev.some((row, index) => (current[index]?.Ver ?? 0) !== row.Ver)) {
      return { status: 412, body: { rows: current.filter((row) => row !== undefined) } };
    }
    this.#version += 1;
    Puts.forEach(({ Table, part = '', Key, Value }) => {
      const row = { Table, part, Key, Value, Ver: this.#version };
      if (!this.#rows.has(nameOf(row))) {
        const keys = this.keysOf(Table);
        keys.splice(firstFrom(keys, Key), 0, Key);
      }
      this.#rows.set(nameOf(row), row);
      this.#changes.push(row);
    });
    Remove.forEach(({ Table, part = '', Key }) => {
      const row = { Table, part, Key, Ver: this.#version, Deleted: true };
      if (!this.#rows.delete(nameOf(row))) return;
      const keys = this.keysOf(Table);
      keys.splice(firstFrom(keys, Key), 1);
      this.#changes.push(row);
    });
    [...this.#waiters].forEach((wake) => wake());
    return { status: 200, body: this.#stamp() };
  }

  #stamp() {
    return { Ver: this.#version, NowMs: Math.floor(performance.now()) };
  }

  /** The limit of the pages that a call breaks, or undefined. */
  static #fault(bytes, { ExpectRev = [], Puts = [], Remove = [] }) {
    const count = ExpectRev.length + Puts.length + Remove.length;
    if (bytes > CALL_BYTES) return `a call of ${bytes} bytes`;
    if (count > ENTRIES) return `a call of ${count} entries`;
    const wide = Puts.find(({ Value }) => Buffer.from(Value, 'base64').length > ROW_BYTES);
    if (wide === undefined) return undefined;
    const size = Buffer.from(wide.Value, 'base64').length;
    return `row ${wide.Table}/${wide.Key} of ${size} bytes, RowBytes is ${ROW_BYTES}`;
  }

  async #answer(request, bytes, response) {
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const send = (status, body) => {
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(body));
    };
    if (pathname === '/api/rows-tx') {
      const body = JSON.parse(bytes.toString());
      await pause(TXN_MS);
      const fault = Store.#fault(bytes.length, body);
      if (fault !== undefined) {
        this.refused.push({ at: Date.now(), fault });
        send(400, {});
        return;
      }
      const { status, body: answer } = this.#apply(body);
      send(status, answer);
    } else if (pathname === '/api/rows-get') send(200, this.#page(searchParams));
    else if (pathname === '/api/rows-feed') send(200, await this.#feed(searchParams));
    else send(404, {});
  }

  #page(query) {
    const Table = query.get('Table');
    const keys = this.keysOf(Table);
    const until = query.get('Target');
    const end = until === null ? keys.length : firstFrom(keys, until);
    let index = firstFrom(keys, query.get('From') ?? '');
    const rows = [];
    let size = 0;
    for (; index < end; index += 1) {
      const row = this.#rows.get(nameOf({ Table, Key: keys[index] }));
      size += row.Value.length;
      if (rows.length >= PAGE_ROWS || (size > CALL_BYTES && rows.length > 0)) break;
      rows.push(row);
    }
    return { rows, Truncated: index < end, ...this.#stamp() };
  }

  async #feed(query) {
    const table = query.get('Table');
    const after = Number(query.get('After'));
    const endsAt = performance.now() + Number(query.get('WaitMs'));
    for (;;) {
      const first = this.#changes.findLastIndex(({ Ver }) => Ver <= after) + 1;
      const rows = this.#changes.slice(first).filter(({ Table }) => Table === table);
      const leftMs = endsAt - performance.now();
      if (rows.length > 0 || leftMs <= 0) return { rows, ...this.#stamp() };
      let wake;
      await Promise.race([
        pause(leftMs),
        new Promise((resolve) => {
          wake = resolve;
          this.#waiters.add(resolve);
        }),
      ]);
      this.#waiters.delete(wake);
    }
  }
}
