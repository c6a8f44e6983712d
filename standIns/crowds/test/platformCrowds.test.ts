import { afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';

import {
  Crowd,
  finishedRequest,
  requestsAhead,
  unfinishedRequest,
  type ChunkedRequest,
} from './crowd.js';
import {
  buildProgram,
  pathOf,
  PlatformInstance,
  QUEUE_HOST,
  submissionText,
} from './platformInstance.js';
import {
  BYTES_PER_MB,
  openDescriptorCount,
  peakResidentBytes,
  type ProcessLimits,
} from './processUsage.js';

/** The memory of the smallest machine that a deployment has. */
const MACHINE_BYTES = 250 * BYTES_PER_MB;
const LIMITS: ProcessLimits = { heapMb: 64, descriptors: 400 };
/** Descriptors that the process must have left for its own calls. */
const OWN_DESCRIPTORS = 50;
const ORDINARY_ID = 0xffff;
const OK = 200;

const LARGE_CHUNKS = { chunkBytes: 30_000, chunkCount: 30 };
const SMALL_CHUNKS = { chunkBytes: 1, chunkCount: 40_000 };

const submission = (index: number, specLength: number): string => {
  const body = submissionText(specLength);
  return (
    `POST ${pathOf(index)} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\n` +
    `Content-Length: ${body.length}\r\n\r\n${body}`
  );
};

describe('the platform daemon beside clients outside the limits', () => {
  let instance: PlatformInstance;
  const crowds: Crowd[] = [];

  beforeAll(buildProgram);

  beforeEach(async () => {
    instance = new PlatformInstance();
    await instance.start(LIMITS);
  });

  afterEach(async () => {
    crowds.splice(0).forEach((crowd) => crowd.dispose());
    await instance.dispose();
  });

  const crowdAt = (port: number): Crowd => {
    const crowd = new Crowd(port);
    crowds.push(crowd);
    return crowd;
  };

  /** The crowd is still connected when an ordinary caller submits. */
  const expectOrdinaryService = async (): Promise<void> => {
    expect(instance.errorText).toBe('');
    expect(instance.hasEnded).toBe(false);
    expect(await instance.submit(ORDINARY_ID)).toBe(OK);
    expect(await openDescriptorCount(instance.processId)).toBeLessThanOrEqual(
      (LIMITS.descriptors ?? 0) - OWN_DESCRIPTORS,
    );
    expect(await peakResidentBytes(instance.processId)).toBeLessThan(MACHINE_BYTES);
    expect(instance.hasEnded).toBe(false);
  };

  const unfinished =
    (chunks: Pick<ChunkedRequest, 'chunkBytes' | 'chunkCount'>) => (index: number) =>
      unfinishedRequest({ path: pathOf(index + 1), host: QUEUE_HOST, ...chunks });

  // Bodies that stop just short of their end filled the memory of the process.
  it('survives large chunked bodies that are left open', async () => {
    await crowdAt(instance.callersPort).join(300, unfinished(LARGE_CHUNKS));
    await expectOrdinaryService();
  });

  // A chunk of one byte took some hundred bytes, so that bodies within the limit filled the heap.
  it('survives bodies in chunks of one byte that are left open', async () => {
    await crowdAt(instance.callersPort).join(100, unfinished(SMALL_CHUNKS));
    await expectOrdinaryService();
  });

  // All requests that were sent ahead were begun at once, however few answers were read.
  it('survives submissions that are sent ahead and whose answers are not read', async () => {
    await crowdAt(instance.callersPort).join(100, (index) =>
      requestsAhead(500, (order) => submission(index * 1_000 + order + 1, 3_500)),
    );
    await expectOrdinaryService();
  });

  // Rows of several megabytes, which no store takes, waited for their turn at the store.
  it('survives submissions whose steps no row can hold', async () => {
    instance.store.treat = () => ({ delayMs: 400, outcome: 'serve' });
    const body = JSON.stringify({ Steps: Array.from({ length: 9_000 }, () => ({ Count: 1 })) });
    await crowdAt(instance.callersPort).join(100, (index) => [
      finishedRequest(pathOf(index + 1), body, 50_000),
    ]);
    instance.store.treat = () => ({ delayMs: 0, outcome: 'serve' });
    await expectOrdinaryService();
  });

  // Requests whose callers had left were no longer counted, but still held in memory.
  it('survives callers that leave before a slow store has answered', async () => {
    instance.store.treat = () => ({ delayMs: 400, outcome: 'serve' });
    const body = submissionText(3_500).padEnd(200_000, ' ');
    for (let round = 0; round < 20; round += 1) {
      const crowd = crowdAt(instance.callersPort);
      // eslint-disable-next-line no-await-in-loop -- each round leaves before the next one
      await crowd.join(100, (index) => [
        finishedRequest(pathOf(round * 100 + index + 1), body, 50_000),
      ]);
      crowd.dispose();
    }
    instance.store.treat = () => ({ delayMs: 0, outcome: 'serve' });
    await expectOrdinaryService();
  });

  // Connections of clients took all descriptors, so that neither callers nor the store were reached.
  it.each(['callersPort', 'readinessPort', 'metricsPort'] as const)(
    'has descriptors for callers and its own calls beside very many connections to %s',
    async (port) => {
      const crowd = crowdAt(instance[port]);
      await crowd.join(600, () => [Buffer.from('POST /queue/')]);
      crowd.leave(3);
      await crowd.join(300, () => []);
      instance.store.dropConnections();
      await expectOrdinaryService();
    },
  );

  // Paths that a listener does not have must not make it hold the body of a request.
  it.each(['readinessPort', 'metricsPort'] as const)(
    'survives bodies that are left open at %s',
    async (port) => {
      await crowdAt(instance[port]).join(300, unfinished(LARGE_CHUNKS));
      await expectOrdinaryService();
    },
  );

  // Each request for metrics that was sent ahead held a text of its own until it was read.
  it('survives metrics that are asked for ahead and not read', async () => {
    const text = 'GET /metrics HTTP/1.1\r\nHost: instance\r\n\r\n';
    await crowdAt(instance.metricsPort).join(100, () => requestsAhead(500, () => text));
    await expectOrdinaryService();
  });
});
