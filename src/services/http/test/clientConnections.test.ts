import { describe, expect, it } from 'vitest';

import { ClientConnections, type ClientConnection } from '../common/clientConnections.js';

const LIMITS = {
  maximumConnections: 3,
  maximumRequests: 4,
  maximumRequestsPerConnection: 3,
  maximumHeldBytes: 100,
  maximumHeldBytesPerConnection: 60,
};

const withEvictions = () => {
  const evicted: string[] = [];
  const connections = new ClientConnections<string>(LIMITS, (handle) => evicted.push(handle));
  const open = (handle: string): ClientConnection<string> => {
    const connection = connections.open(handle);
    if (connection === undefined) throw new Error(`no place for ${handle}`);
    return connection;
  };
  const begin = (connection: ClientConnection<string>) => {
    const request = connections.begin(connection);
    if (request === undefined) throw new Error('too many requests of a connection');
    return request;
  };
  return { connections, evicted, open, begin };
};

describe('the connections of clients', () => {
  // Idle connections kept new callers out until they timed out.
  it('make room for a new one by the one that has been idle longest', () => {
    const { connections, evicted, open, begin } = withEvictions();
    const [first] = ['a', 'b', 'c'].map(open);
    if (first !== undefined) connections.finish(begin(first));
    open('d');
    expect(evicted).toEqual(['b']);
    expect(connections.usage.connectionCount).toBe(3);
  });

  // A connection for whose request work is under way must not lose its answer.
  it('are never closed while work is under way for them', () => {
    const { connections, evicted, open, begin } = withEvictions();
    ['a', 'b', 'c'].map(open).forEach((connection) => connections.startWork(begin(connection)));
    expect(connections.open('d')).toBeUndefined();
    expect(evicted).toEqual([]);
  });

  // A client that sends ahead without reading would have all its requests begun.
  it('have a limited number of requests each', () => {
    const { connections, open, begin } = withEvictions();
    const connection = open('a');
    const requests = [1, 2, 3].map(() => begin(connection));
    expect(connections.begin(connection)).toBeUndefined();
    requests.forEach((request) => connections.finish(request));
    expect(connections.begin(connection)).toBeDefined();
  });

  // One client that sends ahead must not take the places of all that wait for one answer.
  it('may have half of all requests ahead of their answers', () => {
    const { connections, open, begin } = withEvictions();
    const [ahead, ordinary] = ['a', 'b'].map(open);
    if (ahead === undefined || ordinary === undefined) return;
    const requests = [1, 2, 3].map(() => {
      const request = begin(ahead);
      connections.startWork(request);
      return request.isRefused;
    });
    expect(requests).toEqual([false, false, true]);
    expect(begin(ordinary).isRefused).toBe(false);
  });

  // Requests that were read at once with the one that closed the connection stayed in memory.
  it('count requests that are not handled until the others are over', () => {
    const { connections, open, begin } = withEvictions();
    const connection = open('a');
    const request = begin(connection);
    connections.startWork(request);
    connections.ignore(connection);
    connections.ignore(connection);
    connections.close(connection);
    expect(connections.usage.requestCount).toBe(3);
    connections.endWork(request);
    expect(connections.usage.requestCount).toBe(0);
  });

  // Requests whose callers had left were no longer counted, but still held in memory.
  it('count requests for which work is under way after they have closed', () => {
    const { connections, open, begin } = withEvictions();
    const connection = open('a');
    const request = begin(connection);
    connections.hold(request, 50);
    connections.startWork(request);
    connections.close(connection);
    expect(connections.usage).toEqual({ connectionCount: 0, requestCount: 1, heldBytes: 50 });
    connections.endWork(request);
    expect(connections.usage).toEqual({ connectionCount: 0, requestCount: 0, heldBytes: 0 });
  });

  // A client that leaves between its request and the work for it would have work that nobody counts.
  it('count work that begins after they have closed', () => {
    const { connections, open, begin } = withEvictions();
    const connection = open('a');
    const request = begin(connection);
    connections.close(connection);
    expect(connections.usage.requestCount).toBe(0);
    connections.startWork(request);
    expect(connections.usage.requestCount).toBe(1);
    connections.endWork(request);
    expect(connections.usage.requestCount).toBe(0);
  });

  // Space of requests that waited behind others on a closed connection was never returned.
  it('return what requests hold that wait behind others when they close', () => {
    const { connections, open, begin } = withEvictions();
    const connection = open('a');
    const [head, next] = [begin(connection), begin(connection)];
    connections.startWork(head);
    connections.startWork(next);
    connections.hold(next, 50);
    connections.endWork(next);
    connections.close(connection);
    expect(connections.usage.heldBytes).toBe(0);
    connections.endWork(head);
    expect(connections.usage.requestCount).toBe(0);
  });

  // Clients that stop within their bodies kept all others from sending one.
  it('make room for bytes by the one that has sent or taken its message longest', () => {
    const { connections, evicted, open, begin } = withEvictions();
    const [slow, slower, ordinary] = ['a', 'b', 'c'].map((handle) => begin(open(handle)));
    if (slow === undefined || slower === undefined || ordinary === undefined) return;
    connections.hold(slow, 50);
    connections.hold(slower, 50);
    expect(connections.hold(ordinary, 20)).toBe(true);
    expect(evicted).toEqual(['a']);
    expect(slow.isRefused).toBe(true);
    expect(connections.usage.heldBytes).toBe(70);
  });

  it('hold no more bytes than their own limit and the common one', () => {
    const { connections, open, begin } = withEvictions();
    const working = ['a', 'b'].map((handle) => begin(open(handle)));
    const [first, second] = working;
    if (first === undefined || second === undefined) return;
    working.forEach((request) => connections.startWork(request));
    expect(connections.hold(first, 61)).toBe(false);
    expect(connections.hold(first, 60)).toBe(true);
    expect(connections.hold(second, 41)).toBe(false);
    expect(connections.hold(second, 40)).toBe(true);
  });

  // A large answer that somebody asked for must come whole; many that nobody takes must not.
  it('may have one answer of any size, or several within their limit', () => {
    const { connections, open, begin } = withEvictions();
    const connection = open('a');
    const head = begin(connection);
    connections.startWork(head);
    expect(connections.holdAnswer(head, 1_000)).toBe(true);
    const next = begin(connection);
    connections.startWork(next);
    expect(connections.holdAnswer(next, 1)).toBe(false);
    connections.endWork(head);
    connections.finish(head);
    expect(connections.holdAnswer(next, 1_000)).toBe(true);
  });

  // Requests that never come whole kept all others from being handled.
  it('make room for a request by the client that has kept one waiting longest', () => {
    const { connections, evicted, open, begin } = withEvictions();
    const [slow, busy, ordinary] = ['a', 'b', 'c'].map(open);
    if (slow === undefined || busy === undefined || ordinary === undefined) return;
    begin(slow);
    connections.startWork(begin(busy));
    connections.ignore(busy);
    connections.ignore(busy);
    const request = begin(ordinary);
    expect(request.isRefused).toBe(false);
    expect(evicted).toEqual(['a']);
    connections.startWork(request);
    connections.close(slow);
    expect(begin(open('d')).isRefused).toBe(true);
    expect(connections.usage.requestCount).toBe(4);
  });
});
