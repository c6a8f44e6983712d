/* eslint n/no-sync: "off", class-methods-use-this: "off", no-await-in-loop: "off", no-restricted-syntax: "off", no-use-before-define: "off", no-void: "off" */
/**
 * A stand-in for the platform's store, after PROTOCOL.md, "The platform's metadata store": tables of
 * rows, transactions with conditions, reads in pages and a feed. It loses nothing, answers after
 * 4 ms and refuses what the page does not allow (100 entries and 1 MB a call, rows larger than
 * `RowBytes`, the system's writes to `op` and `servers`).
 */
import { createServer } from 'node:http';

const ANSWER_MS = 4;
const ROW_BYTES = 65_536;
const CALL_ENTRIES = 100;
const CALL_BYTES = 1_000_000;
const PAGE_ROWS = 500;
const PAGE_BYTES = 1_000_000;
/** The names of a row in an answer. */
const ROW_OVERHEAD_BYTES = 120;
const READ_ONLY_TABLES = new Set(['op', 'servers']);

const pause = (durationMs) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** The index of the first key that is not less than `key`; the keys are in ascending order. */
const firstAtLeast = (keys, key) => {
  let [low, high] = [0, keys.length];
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (keys[middle] < key) low = middle + 1;
    else high = middle;
  }
  return low;
};

export const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
};

export const reply = (response, statusCode, body) => {
  const text = JSON.stringify(body);
  response.writeHead(statusCode, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

export const listen = (server) =>
  new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve(server.address().port));
  });

export class Store {
  /** Keys to rows, by table. */
  #tables = new Map();

  /** The keys of each table in ascending order; absent after a change of the keys. */
  #sortedKeys = new Map();

  /** Changed rows by table, in the order of their versions. */
  #changes = new Map();

  #waiters = new Set();

  #version = 0;

  #server = createServer((request, response) => void this.#serve(request, response));

  /** Called with the status and body of each call of `rows-tx`. */
  onTransaction = () => {};

  address = '';

  async start() {
    this.#server.keepAliveTimeout = 120_000;
    this.address = `127.0.0.1:${await listen(this.#server)}`;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  rows(table) {
    return [...(this.#tables.get(table)?.values() ?? [])];
  }

  row(table, key) {
    return this.#tables.get(table)?.get(key);
  }

  /** Stores a document as the operator and the workers do. */
  put(table, key, document) {
    const Value = Buffer.from(JSON.stringify(document)).toString('base64');
    this.#apply({ Puts: [{ Table: table, part: '', Key: key, Value }] });
  }

  /** Stores the bytes of a row as they are. */
  putValue(table, key, value) {
    this.#apply({ Puts: [{ Table: table, part: '', Key: key, Value: value }] });
  }

  remove(table, key) {
    this.#apply({ Remove: [{ Table: table, part: '', Key: key }] });
  }

  #table(name) {
    const known = this.#tables.get(name) ?? new Map();
    this.#tables.set(name, known);
    return known;
  }

  #noteChange(row) {
    const known = this.#changes.get(row.Table) ?? [];
    known.push(row);
    this.#changes.set(row.Table, known);
  }

  #apply({ Puts = [], Remove = [] }) {
    this.#version += 1;
    Puts.forEach((put) => {
      const row = { ...put, part: '', Ver: this.#version };
      const table = this.#table(row.Table);
      if (!table.has(row.Key)) this.#sortedKeys.delete(row.Table);
      table.set(row.Key, row);
      this.#noteChange(row);
    });
    Remove.forEach(({ Table, Key }) => {
      this.#table(Table).delete(Key);
      this.#sortedKeys.delete(Table);
      this.#noteChange({ Table, part: '', Key, Ver: this.#version, Deleted: true });
    });
    [...this.#waiters].forEach((wake) => wake());
    return { Ver: this.#version, NowMs: Math.floor(performance.now()) };
  }

  #fault(body, size) {
    const { ExpectRev = [], Puts = [], Remove = [] } = body;
    if (size > CALL_BYTES) return 'more than 1 MB in one call';
    if (ExpectRev.length + Puts.length + Remove.length > CALL_ENTRIES) {
      return 'more than 100 entries in one call';
    }
    const large = Puts.find(({ Value }) => Buffer.byteLength(Value, 'base64') > ROW_BYTES);
    if (large === undefined) return undefined;
    const size1 = Buffer.byteLength(large.Value, 'base64');
    return `the row ${large.Table}/${large.Key} has ${size1} bytes, more than RowBytes`;
  }

  #transact(bytes) {
    const body = JSON.parse(bytes.toString('utf8'));
    const { ExpectRev = [], Puts = [], Remove = [] } = body;
    const fault = this.#fault(body, bytes.length);
    if (fault !== undefined) return [400, { Reason: fault }];
    if ([...Puts, ...Remove].some(({ Table }) => READ_ONLY_TABLES.has(Table))) return [403, {}];
    const isMet = ExpectRev.every(
      ({ Table, Key, Ver }) => (this.row(Table, Key)?.Ver ?? 0) === Ver,
    );
    if (isMet) return [200, this.#apply(body)];
    const rows = ExpectRev.flatMap(({ Table, Key }) => this.row(Table, Key) ?? []);
    return [412, { rows, Ver: this.#version, NowMs: Math.floor(performance.now()) }];
  }

  #read(query) {
    const name = query.get('Table');
    const from = query.get('From') ?? '';
    const target = query.get('Target') ?? undefined;
    const limit = Math.min(PAGE_ROWS, Number(query.get('Limit') ?? PAGE_ROWS));
    const keys = this.#sortedKeys.get(name) ?? [...this.#table(name).keys()].sort();
    this.#sortedKeys.set(name, keys);
    const rows = [];
    let size = 0;
    let Truncated = false;
    for (let index = firstAtLeast(keys, from); index < keys.length; index += 1) {
      if (target !== undefined && keys[index] >= target) break;
      const row = this.row(name, keys[index]);
      size += row.Value.length + ROW_OVERHEAD_BYTES;
      Truncated = rows.length >= limit || (rows.length > 0 && size > PAGE_BYTES);
      if (Truncated) break;
      rows.push(row);
    }
    return { rows, Truncated, Ver: this.#version, NowMs: Math.floor(performance.now()) };
  }

  async #feed(query) {
    const table = query.get('Table');
    const after = Number(query.get('After'));
    const endsAtMs = performance.now() + Number(query.get('WaitMs') ?? 0);
    for (;;) {
      const changes = this.#changes.get(table) ?? [];
      let first = changes.length;
      while (first > 0 && changes[first - 1].Ver > after) first -= 1;
      const rows = changes.slice(first);
      const leftMs = endsAtMs - performance.now();
      if (rows.length > 0 || leftMs <= 0) {
        return { rows, Ver: this.#version, NowMs: Math.floor(performance.now()) };
      }
      await this.#nextChange(leftMs);
    }
  }

  #nextChange(timeoutMs) {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this.#waiters.delete(end);
        resolve();
      };
      const timer = setTimeout(end, timeoutMs);
      this.#waiters.add(end);
    });
  }

  async #serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const bytes = await readBody(request);
    await pause(ANSWER_MS);
    if (url.pathname === '/api/rows-tx') {
      const [statusCode, body] = this.#transact(bytes);
      this.onTransaction(statusCode, body);
      reply(response, statusCode, body);
    } else if (url.pathname === '/api/rows-get') reply(response, 200, this.#read(url.searchParams));
    else if (url.pathname === '/api/rows-feed')
      reply(response, 200, await this.#feed(url.searchParams));
    else reply(response, 404, {});
  }
}
