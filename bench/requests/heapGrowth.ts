/** Measures the heap growth of the admission code in bytes for each request. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { SeededRandom } from '../../src/base/common/random.js';
import { Admission, type AdmissionSettings } from '../../src/entry/common/admission.js';
import { ServerVerdict } from '../../src/entry/common/admissionDecision.js';
import { AttemptEnd } from '../../src/entry/common/attempt.js';
import type { WaitingRequest } from '../../src/entry/common/fairQueue.js';
import { RequestProgress } from '../../src/entry/common/requestProgress.js';
import { LatencyWeightedOfTwo } from '../../src/entry/common/serverChoice.js';
import type { ServerRecord } from '../../src/entry/common/serverRecords.js';

const SERVER_COUNT = 35;
const WARM_UP_COUNT = 100_000;
const MEASURED_COUNT = 400_000;
const DEADLINE_MS = 1_000;
/** More than the servers have slots, so that some requests wait and some are refused. */
const IN_FLIGHT_COUNT = 600;

interface InFlightRequest {
  readonly server: ServerRecord;
  readonly progress: RequestProgress;
}

const heapBytes = (): number => {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  collect();
  return process.memoryUsage().heapUsed;
};

/**
 * Returns the heap growth per request. Each request comes from a caller of its own and is
 * admitted, queued or refused; one in seven callers hangs up. The heap is measured after a warm-up
 * and again after 400,000 more requests.
 */
export const heapBytesPerRequest = (settings: AdmissionSettings, seed: number): number => {
  const random = new SeededRandom(seed);
  const admission = new Admission(settings, new LatencyWeightedOfTwo(random), random);
  const servers = Array.from({ length: SERVER_COUNT }, (_, index) => ({
    workerId: `w${index}`,
    origin: `http://w${index}`,
    availabilityZone: 'zone-a',
    slotCount: 8,
    connectionCount: 64,
  }));
  admission.updateRoutes(new Map([['rounds', servers]]), () => 'urgent', 7);
  const inFlight: InFlightRequest[] = [];
  let count = 0;
  const begin = (server: ServerRecord, deadlineAtMs: number): void => {
    const terms = { isIdempotent: true, maximumAttemptCount: 3, deadlineAtMs };
    const progress = new RequestProgress(terms);
    progress.tryStart();
    inFlight.push({ server, progress });
  };
  const serveNextRequest = (): void => {
    const nowMs = count / 10;
    count += 1;
    const waiting: WaitingRequest = {
      callerId: `caller-${count}`,
      deadlineAtMs: nowMs + DEADLINE_MS,
      waitingSinceMs: nowMs,
      avoidedWorkerId: undefined,
    };
    const decision = admission.admit('rounds', waiting, nowMs);
    if (decision.kind === 'admitted') begin(decision.server, waiting.deadlineAtMs);
    else if (decision.kind === 'queued' && count % 3 === 0)
      admission.removeWaiting('rounds', waiting);
    if (decision.kind === 'admitted' && inFlight.length < IN_FLIGHT_COUNT && count % 8 === 0)
      return;
    const oldest = inFlight.shift();
    oldest?.progress.noteEnd(AttemptEnd.Answered);
    const verdict = count % 7 === 0 ? ServerVerdict.Abandoned : ServerVerdict.Success;
    const end = { latencyMs: 20, verdict, isServerLeaving: false };
    const freed = oldest === undefined ? [] : admission.finish('rounds', oldest.server, end, nowMs);
    [...freed, ...admission.sweep(nowMs).dispatched].forEach((dispatched) =>
      begin(dispatched.server, dispatched.waiting.deadlineAtMs),
    );
  };
  for (let index = 0; index < WARM_UP_COUNT; index += 1) serveNextRequest();
  const beforeBytes = heapBytes();
  for (let index = 0; index < MEASURED_COUNT; index += 1) serveNextRequest();
  return (heapBytes() - beforeBytes) / MEASURED_COUNT;
};
