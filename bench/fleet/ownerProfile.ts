/** Samples this process while it simulates a fleet and divides the owner's time by what it does. */
import { readFile } from 'node:fs/promises';
import { type Profiler, Session } from 'node:inspector';

const SAMPLING_INTERVAL_US = 250;
/** Outside what is measured. */
const BETWEEN_INTERVAL_US = 100_000;
const US_PER_MS = 1_000;
const NS_PER_MS = 1_000_000;
/** Processor time of the main thread in nanoseconds comes first; Linux only. */
const SCHEDULER_STATISTICS = '/proc/self/schedstat';

export const OwnerWork = {
  HoldCalls: 'holds: calls',
  HoldLists: 'holds: lists',
  Ends: 'ends',
  Starts: 'starts',
  Placing: 'placing',
  PlacingInterference: 'placing: interference',
  Interference: 'interference',
  Roster: 'roster',
  Commits: 'commits',
  Changes: 'changes taken in',
  Log: 'log',
  GarbageCollection: 'garbage collection',
  Other: 'other',
} as const;
export type OwnerWork = (typeof OwnerWork)[keyof typeof OwnerWork];

/** Work by the file of a function, or by its file and name; the innermost match counts. */
const WORK_OF: Readonly<Record<string, OwnerWork>> = {
  'fleetCalls.holdEffects': OwnerWork.HoldCalls,
  holdTiming: OwnerWork.HoldCalls,
  'fleetScheduler.handleHeld': OwnerWork.HoldLists,
  'fleetCalls.stopStuckRuns': OwnerWork.HoldLists,
  'runTracker.#handleEnd': OwnerWork.Ends,
  'fleetScheduler.#startRecorded': OwnerWork.Starts,
  'fleetScheduler.handleStarted': OwnerWork.Starts,
  runStarts: OwnerWork.Starts,
  'fleetScheduler.#placeWaiting': OwnerWork.Placing,
  'fleetScheduler.#commit': OwnerWork.Commits,
  'fleetScheduler.handleCommitted': OwnerWork.Commits,
  roster: OwnerWork.Roster,
  'fleetScheduler.handleChanges': OwnerWork.Changes,
  'fleetScheduler.handleWorkers': OwnerWork.Changes,
  'submissionRegistry.openDueOccurrences': OwnerWork.Changes,
  decisionLog: OwnerWork.Log,
  waitReport: OwnerWork.Log,
  consolaLog: OwnerWork.Log,
  rateLimitedLog: OwnerWork.Log,
  fillerPacing: OwnerWork.Interference,
  harmonicLoad: OwnerWork.Interference,
  imagePairs: OwnerWork.Interference,
  interferenceModel: OwnerWork.Interference,
  learningInterferenceControl: OwnerWork.Interference,
  loadDynamics: OwnerWork.Interference,
  loadEstimate: OwnerWork.Interference,
  serviceLoad: OwnerWork.Interference,
};

/** Only what the driver times is the owner's; the rest is the model of its surroundings. */
const OWNER_ENTRY = 'fleetDriver.#timed';
/** What the driver does with the scheduler's effects, also where it is called within what it times. */
const MODEL_ENTRIES: readonly string[] = ['fleetDriver.#perform', 'fleetDriver.#noteCompleted'];

interface Classified {
  readonly isOwner: boolean;
  readonly isCollection: boolean;
  readonly work: OwnerWork;
  /** The innermost function of the product that has a name, by its file. */
  readonly place: string;
}

const workOf = (file: string, functionName: string, above: OwnerWork): OwnerWork => {
  const own = WORK_OF[`${file}.${functionName}`] ?? WORK_OF[file];
  if (own === undefined) return above;
  if (own !== OwnerWork.Interference) return own;
  const isPlacing = above === OwnerWork.Placing || above === OwnerWork.PlacingInterference;
  return isPlacing ? OwnerWork.PlacingInterference : own;
};

const classify = ({ nodes }: Profiler.Profile): ReadonlyMap<number, Classified> => {
  const classified = new Map<number, Classified>();
  const byId = new Map(nodes.map((node) => [node.id, node]));
  const visit = (id: number, { isOwner: isOwnerAbove, work: above, place }: Classified): void => {
    const node = byId.get(id);
    if (node === undefined) return;
    const { functionName, url } = node.callFrame;
    const file = url.slice(url.lastIndexOf('/') + 1).replace(/\.[jt]s$/, '');
    const name = `${file}.${functionName}`;
    const isOwner = name === OWNER_ENTRY || (isOwnerAbove && !MODEL_ENTRIES.includes(name));
    const work = isOwner ? workOf(file, functionName, above) : OwnerWork.Other;
    const isCollection = functionName === '(garbage collector)';
    const isNamed = file !== '' && functionName !== '';
    const own = { isOwner, isCollection, work, place: isNamed ? name : place };
    classified.set(id, own);
    node.children?.forEach((child) => visit(child, own));
  };
  const [root] = nodes;
  const outside = { isOwner: false, isCollection: false, work: OwnerWork.Other, place: '' };
  if (root !== undefined) visit(root.id, outside);
  return classified;
};

export const mainThreadMs = async (): Promise<number> =>
  Number((await readFile(SCHEDULER_STATISTICS, 'utf8')).split(' ')[0]) / NS_PER_MS;

export interface OwnerTimes {
  readonly msByWork: ReadonlyMap<OwnerWork, number>;
  /** Without collections; what a function calls within the language counts as its own. */
  readonly msByPlace: ReadonlyMap<string, number>;
  /** Processor time of the main thread per sampled time; below 1 where the thread had to wait. */
  readonly processorShare: number;
}

/**
 * Sampled times include waiting for a processor. They are reduced to the processor time of the
 * main thread, so that a busy machine stretches them less. Collections are the owner's when they
 * interrupt it. Other threads, which collect and compile, are not counted.
 */
const divide = (profile: Profiler.Profile, processorMs: number): OwnerTimes => {
  const classified = classify(profile);
  const sampledMs = new Map<OwnerWork, number>();
  const placeMs = new Map<string, number>();
  let totalMs = 0;
  let isOwnerBefore = false;
  (profile.samples ?? []).forEach((id, index) => {
    const passedMs = (profile.timeDeltas?.[index + 1] ?? 0) / US_PER_MS;
    totalMs += passedMs;
    const sample = classified.get(id);
    if (sample === undefined) return;
    if (!sample.isCollection) isOwnerBefore = sample.isOwner;
    if (!isOwnerBefore) return;
    const work = sample.isCollection ? OwnerWork.GarbageCollection : sample.work;
    sampledMs.set(work, (sampledMs.get(work) ?? 0) + passedMs);
    if (sample.isCollection) return;
    const place = `${work}: ${sample.place}`;
    placeMs.set(place, (placeMs.get(place) ?? 0) + passedMs);
  });
  const processorShare = processorMs / Math.max(1, totalMs);
  const entries = Object.values(OwnerWork).map(
    (work) => [work, (sampledMs.get(work) ?? 0) * processorShare] as const,
  );
  const places = [...placeMs].map(([place, ms]) => [place, ms * processorShare] as const);
  return { msByWork: new Map(entries), msByPlace: new Map(places), processorShare };
};

const post = (session: Session, method: string, parameters: object = {}): Promise<unknown> =>
  new Promise((resolve, reject) => {
    session.post(method, parameters, (error, result) => {
      if (error === null) resolve(result);
      else reject(error);
    });
  });

const startProfiler = async (samplingIntervalUs: number): Promise<Session> => {
  const session = new Session();
  session.connect();
  await post(session, 'Profiler.enable');
  await post(session, 'Profiler.setSamplingInterval', { interval: samplingIntervalUs });
  await post(session, 'Profiler.start');
  return session;
};

/**
 * Functions that are optimised while no profiler is on do not tell what has been inlined into them,
 * so that one has to be on before and between the measured parts too. Returns what ends it.
 */
export const keepProfilerOn = async (): Promise<() => void> => {
  const session = await startProfiler(BETWEEN_INTERVAL_US);
  return () => session.disconnect();
};

/** Samples this process while `run` runs. */
export const profileOwner = async (run: () => Promise<void>): Promise<OwnerTimes> => {
  const session = await startProfiler(SAMPLING_INTERVAL_US);
  const beganAtMs = await mainThreadMs();
  await run();
  const processorMs = (await mainThreadMs()) - beganAtMs;
  const { profile } = (await post(session, 'Profiler.stop')) as Profiler.StopReturnType;
  session.disconnect();
  return divide(profile, processorMs);
};
