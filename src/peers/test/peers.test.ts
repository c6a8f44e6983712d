import { createServer, type Socket } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import type { Disposable } from '../../base/common/lifecycle.js';
import { systemClock } from '../../base/node/systemClock.js';
import type { DaemonInstance } from '../../services/instanceList/common/instanceList.js';
import { silentMetrics } from '../../services/metrics/common/metrics.js';
import { silentTracing } from '../../services/tracing/common/tracing.js';
import { selectPeers, memberStates, MemberState, linkChanges } from '../common/peerTable.js';
import { PeerLink } from '../node/peerLink.js';

const SILENCE_MS = 100;
/** Longer than an answer takes even on a busy machine. */
const LINK_SILENCE_MS = 1_000;
const address = (port: number) => ({ host: '127.0.0.1', port });

const daemon = (id: string, state: DaemonInstance['state'] = 'live'): DaemonInstance => ({
  kind: 'daemon',
  id,
  availabilityZone: 'zone-a',
  state,
  peerAddress: address(1),
  operatorAddress: address(2),
});

const daemons = (count: number): readonly DaemonInstance[] =>
  Array.from({ length: count }, (_, index) => daemon(`d${String(index).padStart(3, '0')}`));

describe('the links between daemons', () => {
  // Each daemon sends heartbeats to a few peers only; a hint passed on that way must reach all.
  it.each([
    [1, 0],
    [2, 1],
    [7, 3],
    [70, 7],
  ])('connect all of %i daemons with %i links each', (count, linkCount) => {
    const all = daemons(count);
    const links = new Map(all.map(({ id }) => [id, selectPeers(all, id).map((peer) => peer.id)]));
    links.forEach((ids) => expect(new Set(ids).size).toBe(linkCount));
    let reached = new Set(['d000']);
    for (let step = 0; step < linkCount; step += 1) {
      reached = new Set([...reached, ...[...reached].flatMap((id) => links.get(id) ?? [])]);
    }
    expect(reached.size).toBe(count);
  });

  // A third of the daemons is gone, but the instance list still names them, and they pass no hints
  // on. Without replacement links, some daemons learn of a change only when they poll for it.
  it.each([7, 70])('connect the remaining daemons when a third of %i is gone', (count) => {
    const all = daemons(count);
    const gone = new Set(all.filter((_, index) => index % 3 === 1).map(({ id }) => id));
    const remaining = all.filter(({ id }) => !gone.has(id));
    const isGone = (id: string): boolean => gone.has(id);
    const links = new Map(remaining.map(({ id }) => [id, selectPeers(all, id, isGone)]));
    const linkCount = selectPeers(all, 'd000').length;
    let reached = new Set(['d000']);
    for (let step = 0; step < linkCount; step += 1) {
      const next = [...reached].flatMap((id) => links.get(id)?.map((peer) => peer.id) ?? []);
      reached = new Set([...reached, ...next.filter((id) => !gone.has(id))]);
    }
    expect(reached.size).toBe(remaining.length);
    // A gone daemon stays linked, because otherwise its return would go unnoticed.
    const selectedIds = selectPeers(all, 'd000').map(({ id }) => id);
    expect(links.get('d000')?.map(({ id }) => id)).toEqual(expect.arrayContaining(selectedIds));
    links.forEach((peers) => expect(peers.length).toBeLessThanOrEqual(linkCount * 2));
  });

  // When a daemon restarts under its id at another port, the old link would retry the old port
  // forever.
  it('are replaced when the address of a daemon changes', () => {
    const linked = new Map([['d1', daemon('d1')]]);
    const moved = { ...daemon('d1'), peerAddress: address(9) };
    expect(linkChanges(linked, [moved])).toEqual({ added: [moved], removedIds: ['d1'] });
    expect(linkChanges(linked, [daemon('d1')])).toEqual({ added: [], removedIds: [] });
  });
});

describe('the member states', () => {
  it('follow the instance list, corrected by observations', () => {
    const listed = [
      daemon('heard'),
      daemon('silent'),
      daemon('far'),
      daemon('goes'),
      daemon('left', 'leaving'),
    ];
    const observed = new Map([
      ['heard', { heardAtMs: 950, isLeaving: false }],
      ['silent', { heardAtMs: 500, isLeaving: false }],
      ['goes', { heardAtMs: 500, isLeaving: true }],
      ['new', { heardAtMs: 990, isLeaving: false }],
      ['gone', { heardAtMs: 100, isLeaving: false }],
    ]);
    const states = memberStates(listed, new Set(['heard', 'silent']), observed, SILENCE_MS, 1_000);
    expect(Object.fromEntries(states)).toEqual({
      heard: MemberState.Live,
      silent: MemberState.Silent,
      far: MemberState.Unobserved,
      goes: MemberState.Leaving,
      left: MemberState.Leaving,
      new: MemberState.Live,
    });
  });
});

describe('a silent connection', () => {
  const cleanups: Disposable[] = [];
  afterEach(() => cleanups.splice(0).forEach((item) => item.dispose()));

  // A device between two daemons has lost track of their connection: the connection stays open,
  // accepts writes and delivers nothing, while a new connection works. If the connection were not
  // replaced, the peer would look dead until one of the daemons restarts.
  it('is replaced by a new one', async () => {
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => {});
      if (sockets.length === 1) return;
      socket.on('data', (data) => {
        const { id } = JSON.parse(data.toString()) as { id: number };
        const result = { instanceId: 'peer', configurationVersion: 7 };
        socket.write(`${JSON.stringify({ jsonrpc: '2.0', id, result })}\n`);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as { port: number };
    const link = new PeerLink(
      address(port),
      systemClock,
      silentMetrics,
      silentTracing,
      LINK_SILENCE_MS,
    );
    cleanups.push(link, {
      dispose: () => {
        sockets.forEach((socket) => socket.destroy());
        server.close();
      },
    });
    const own = { instanceId: 'own', configurationVersion: 1, isLeaving: false };
    const answers = [
      await link.sendHeartbeat(own),
      await link.sendHeartbeat(own),
      await link.sendHeartbeat(own),
    ];
    expect(answers[0]).toBeUndefined();
    expect(answers[2]).toEqual({ instanceId: 'peer', configurationVersion: 7, isLeaving: false });
    expect(sockets).toHaveLength(2);
  });
});
