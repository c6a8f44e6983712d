/** Tests the components of the platform soak on which its checks rely. */
import { createConnection, createServer } from 'node:net';
import { once } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';

import { describe, expect, it } from 'vitest';

import { SeededRandom } from '../../../src/base/common/random.js';
import { SilentRelay } from '../../../standIns/relay/silentRelay.js';
import { RunEnd } from '../../../src/services/fleet/common/fleetWorker.js';
import { StoreServer } from '../../../platform/test/storeServer.js';
import { FaultWindows } from './faultWindows.js';
import { FleetWorker } from './fleetWorker.js';
import { Absence } from './fleetWorkerOptions.js';
import { PlatformJudge } from './platformJudge.js';
import { ZONE_HOSTS, ZONES } from './soakTypes.js';
import { drawPlan, FaultKind, Scenario } from './faultPlan.js';
import { SilentPort } from './silentPort.js';
import { StoreFaults } from './storeFaults.js';

const CONNECT_MS = 300;

const outcomeOf = (port: number, host = '127.0.0.1'): Promise<string> =>
  new Promise((resolve) => {
    const socket = createConnection(port, host);
    socket.once('connect', () => resolve('connected'));
    socket.once('error', () => resolve('refused'));
    setTimeout(() => {
      socket.destroy();
      resolve('silent');
    }, CONNECT_MS);
  });

describe('drawPlan', () => {
  it('returns the same plan for the same seed and another plan for another seed', () => {
    const plan = (seed: number) => drawPlan(Scenario.Both, new SeededRandom(seed), 60_000);
    expect(plan(7)).toEqual(plan(7));
    expect(plan(7)).not.toEqual(plan(8));
  });

  it('plans instance stops and silently leaving workers for the incident scenario', () => {
    const plan = drawPlan(Scenario.Incident, new SeededRandom(1), 30_000);
    expect(plan.map(({ kind }) => kind)).toEqual([FaultKind.StopInTurn, FaultKind.WorkersLeave]);
    expect(plan.every(({ isSilent }) => isSilent)).toBe(true);
  });

  it('plans a zone cut with refused connections for the scenario of both parts', () => {
    const plan = drawPlan(Scenario.Both, new SeededRandom(1), 60_000);
    const cut = plan.find(({ kind }) => kind === FaultKind.CutZone);
    expect(cut).toMatchObject({ atMs: 34_000, isSilent: false });
  });
});

describe('a fleet worker during a zone cut', () => {
  it.each([
    ['is reachable only from its own zone and loses its entry if it is inside the zone', true],
    ['is not reachable from the cut zone and keeps its entry if it is outside the zone', false],
  ])('%s', async (_, isInside) => {
    const store = new StoreServer();
    const judge = new PlatformJudge(new FaultWindows());
    const taskOf = () => ({ workMs: 0, end: RunEnd.Done });
    const callbacks = { nowMs: () => 0, taskOf, isPersistentTask: () => false };
    const collaborators = { advanceAll: () => {}, log: () => {}, judge, store };
    const zone = 'zone-b';
    const worker = new FleetWorker({
      id: 'w',
      zone,
      rack: '',
      clockRate: 1,
      ...callbacks,
      ...collaborators,
    });
    await worker.start();
    const connectionOutcomes = () =>
      Promise.all(ZONES.map((from) => outcomeOf(worker.port, ZONE_HOSTS[from])));
    const cut = worker.cut(Absence.Refusing, 3_800, isInside ? zone : 'zone-a');
    const other = isInside ? 'refused' : 'connected';
    expect(await connectionOutcomes()).toEqual(['refused', 'connected', other]);
    await delay(3_400);
    expect(store.keys('servers')).toEqual(isInside ? [] : ['w']);
    await cut;
    expect(await connectionOutcomes()).toEqual(['connected', 'connected', 'connected']);
    expect(store.keys('servers')).toEqual(['w']);
    await worker.close();
  });
});

describe('a silent port', () => {
  it('neither answers nor refuses connections until it is closed', async () => {
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as { readonly port: number };
    const hosts = ['127.0.0.1', '127.0.0.2'];
    const silent = new SilentPort(port, hosts);
    server.close();
    expect(silent.takeOver()).toBe(true);
    await delay(CONNECT_MS);
    const outcomes = () => Promise.all(hosts.map((host) => outcomeOf(port, host)));
    expect(await outcomes()).toEqual(['silent', 'silent']);
    await silent.close();
    expect(await outcomes()).toEqual(['refused', 'refused']);
  });
});

describe('a relay with cuts', () => {
  it('refuses until the last refusing cut is healed, then stays silent until all cuts are healed', async () => {
    const server = createServer((socket) => socket.end('passed')).listen(0, '127.0.0.1');
    await once(server, 'listening');
    const relay = new SilentRelay((server.address() as { readonly port: number }).port);
    const port = await relay.listen();
    const answerOf = async (): Promise<string> => {
      const socket = createConnection(port, '127.0.0.1');
      const received = once(socket, 'data').then(([chunk]) => String(chunk));
      return Promise.race([
        received.catch(() => 'refused'),
        delay(CONNECT_MS).then(() => socket.destroy() && 'silent'),
      ]);
    };
    const heals = [true, false, true].map((isRefusing) => relay.cut(isRefusing));
    expect(await answerOf()).toBe('refused');
    await heals[0]?.();
    expect(await answerOf()).toBe('refused');
    await heals[2]?.();
    expect(await answerOf()).toBe('silent');
    await heals[1]?.();
    expect(await answerOf()).toBe('passed');
    relay.close();
    server.close();
  });

  it('does not listen again if a cut is healed after the relay was closed', async () => {
    const relay = new SilentRelay(1);
    const port = await relay.listen();
    const heal = relay.cut(true);
    relay.close();
    await heal();
    expect(await outcomeOf(port)).toBe('refused');
  });
});

describe('store faults', () => {
  it('affect only the named hosts, and only while they are active', () => {
    const faults = new StoreFaults(new SeededRandom(1));
    const hosts = new Set(['one']);
    const end = faults.add({ outcome: 'refuse', ratio: 1, delayMs: 0, hosts });
    faults.add({ outcome: 'serve', ratio: 1, delayMs: 30 });
    expect(faults.treat('one')).toEqual({ outcome: 'refuse', delayMs: 30 });
    expect(faults.treat('other')).toEqual({ outcome: 'serve', delayMs: 30 });
    end();
    expect(faults.treat('one')).toEqual({ outcome: 'serve', delayMs: 30 });
  });
});
