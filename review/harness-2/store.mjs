/* eslint n/no-sync: "off", no-restricted-syntax: "off", no-await-in-loop: "off" */
/* eslint import-x/prefer-default-export: "off" */
/**
 * A stand-in for the platform's store, after the section on the metadata store in PROTOCOL.md: rows
 * with versions, conditional transactions, ranges, feeds and the limits of a call. It never fails.
 */
import { createServer } from 'node:http';

const MAXIMUM_ROW_BYTES = 65_536;
const MAXIMUM_CALL_BYTES = 1_000_000;
const MAXIMUM_ENTRIES = 100;
const MAXIMUM_KEY_BYTES = 200;
const PAGE_ROWS = 500;
/** What the store takes for an answer, by the users' pages. */
export const ANSWER_MS = 4;

const nameOf = ({ Table, part = '', Key }) => `${Table}\n${part}\n${Key}`;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
};

export class Store {
  #rows = new Map();

  #byTable = new Map();

  #version = 0;

  #waiters = new Set();

  #server = createServer((request, response) => this.#serve(request, response));

  /** Calls that the store refused because of a limit of the page, with the reason. */
  refused = [];

  writeCount = 0;

  answerMs = ANSWER_MS;

  async listen() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a document as the operator and the workers do. */
  put(table, key, document) {
    const Value = Buffer.from(JSON.stringify(document)).toString('base64');
    this.#apply({ Puts: [{ Table: table, part: '', Key: key, Value }] });
  }

  remove(table, key) {
    this.#apply({ Remove: [{ Table: table, part: '', Key: key }] });
  }

  /** The decoded documents of a table, by key. */
  documents(table) {
    return new Map(
      [...(this.#byTable.get(table)?.values() ?? [])]
        .filter((row) => row.Deleted !== true)
        .map((row) => [row.Key, JSON.parse(Buffer.from(row.Value, 'base64').toString())]),
    );
  }

  #apply({ Puts = [], Remove = [] }) {
    this.#version += 1;
    Puts.forEach(({ Table, part = '', Key, Value }) => {
      this.#set({ Table, part, Key, Value, Ver: this.#version });
    });
    Remove.forEach(({ Table, part = '', Key }) => {
      if (this.#rows.has(nameOf({ Table, part, Key }))) {
        this.#set({ Table, part, Key, Ver: this.#version, Deleted: true });
      }
    });
    this.#waiters.forEach((wake) => wake());
  }

  /** The rows of a table stay in the order of their last change, which the feed needs. */
  #set(row) {
    const name = nameOf(row);
    const table = this.#byTable.get(row.Table) ?? new Map();
    this.#byTable.set(row.Table, table);
    table.delete(name);
    table.set(name, row);
    if (row.Deleted) this.#rows.delete(name);
    else this.#rows.set(name, row);
  }

  async #serve(request, response) {
    const body = await readBody(request);
    const url = new URL(request.url, 'http://store');
    await new Promise((resolve) => {
      setTimeout(resolve, this.answerMs);
    });
    const send = (status, document) => {
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(document));
    };
    if (url.pathname === '/api/rows-tx') this.#transact(body, send);
    else if (url.pathname === '/api/rows-get') send(200, this.#range(url.searchParams));
    else if (url.pathname === '/api/rows-feed') send(200, await this.#feed(url.searchParams));
    else send(404, {});
  }

  #transact(bytes, send) {
    const body = JSON.parse(bytes.toString());
    const { ExpectRev = [], Puts = [], Remove = [] } = body;
    const fault = Store.#faultOf(bytes, ExpectRev, Puts, Remove);
    if (fault !== undefined) {
      this.refused.push(fault);
      send(fault.status, {});
      return;
    }
    const isMet = ExpectRev.every((row) => (this.#rows.get(nameOf(row))?.Ver ?? 0) === row.Ver);
    if (!isMet) {
      send(412, { rows: ExpectRev.flatMap((row) => this.#rows.get(nameOf(row)) ?? []) });
      return;
    }
    this.writeCount += 1;
    this.#apply({ Puts, Remove });
    send(200, this.#stamp());
  }

  static #faultOf(bytes, ExpectRev, Puts, Remove) {
    if (bytes.length > MAXIMUM_CALL_BYTES) return { status: 400, reason: 'call over 1 MB' };
    if (ExpectRev.length + Puts.length + Remove.length > MAXIMUM_ENTRIES) {
      return { status: 400, reason: 'over 100 entries' };
    }
    if ([...Puts, ...Remove].some(({ Table }) => Table === 'op' || Table === 'servers')) {
      return { status: 403, reason: 'a table that the system may not write' };
    }
    if ([...Puts, ...Remove].some(({ Key }) => Buffer.byteLength(Key) > MAXIMUM_KEY_BYTES)) {
      return { status: 400, reason: 'a key over 200 bytes' };
    }
    const large = Puts.find(({ Value }) => Buffer.from(Value, 'base64').length > MAXIMUM_ROW_BYTES);
    if (large === undefined) return undefined;
    const size = Buffer.from(large.Value, 'base64').length;
    return { status: 400, reason: `row ${large.Table}/${large.Key} of ${size} bytes` };
  }

  #stamp() {
    return { Ver: this.#version, NowMs: Math.floor(performance.now()) };
  }

  #range(query) {
    const from = query.get('From') ?? '';
    const until = query.get('Target');
    const found = [...(this.#byTable.get(query.get('Table'))?.values() ?? [])]
      .filter(({ Key, Deleted }) => Deleted !== true && Key >= from)
      .filter(({ Key }) => until === null || Key < until)
      .sort((left, right) => (left.Key < right.Key ? -1 : 1));
    const rows = [];
    let bytes = 0;
    for (const row of found) {
      bytes += row.Value.length + row.Key.length + 100;
      if (rows.length >= PAGE_ROWS || (rows.length > 0 && bytes > MAXIMUM_CALL_BYTES)) break;
      rows.push(row);
    }
    return { rows, Truncated: rows.length < found.length, ...this.#stamp() };
  }

  async #feed(query) {
    const after = Number(query.get('After'));
    const endsAtMs = performance.now() + Number(query.get('WaitMs') ?? 0);
    for (;;) {
      const all = [...(this.#byTable.get(query.get('Table'))?.values() ?? [])];
      let first = all.length;
      while (first > 0 && all[first - 1].Ver > after) first -= 1;
      const rows = all.slice(first);
      const remainingMs = endsAtMs - performance.now();
      if (rows.length > 0 || remainingMs <= 0) return { rows, ...this.#stamp() };
      await this.#nextChange(remainingMs);
    }
  }

  #nextChange(timeoutMs) {
    return new Promise((resolve) => {
      const waiter = { timer: undefined, wake: undefined };
      waiter.wake = () => {
        this.#waiters.delete(waiter.wake);
        clearTimeout(waiter.timer);
        resolve();
      };
      waiter.timer = setTimeout(waiter.wake, timeoutMs);
      this.#waiters.add(waiter.wake);
    });
  }
}
