/** Samples this process while it simulates a fleet and breaks down the owner's time by activity. */
import { readFile } from 'node:fs/promises';
import { type Profiler, Session } from 'node:inspector';

const SAMPLING_INTERVAL_US = 250;
/** Sampling interval outside the measured periods. */
const IDLE_SAMPLING_INTERVAL_US = 100_000;
const US_PER_MS = 1_000;
const NS_PER_MS = 1_000_000;
/** The first field is the processor time of the main thread in nanoseconds. Linux only. */
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
  Checkpoints: 'checkpoints',
  Changes: 'changes taken in',
  Log: 'log',
  GarbageCollection: 'garbage collection',
  Other: 'other',
} as const;
export type OwnerWork = (typeof OwnerWork)[keyof typeof OwnerWork];

/** Kinds of work by a function's file, or by its file and name. The innermost match applies. */
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
  checkpointPage: OwnerWork.Checkpoints,
  checkpointPages: OwnerWork.Checkpoints,
  savedProgress: OwnerWork.Checkpoints,
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

/** Only time within this function is the owner's. The rest simulates the owner's environment. */
const OWNER_ENTRY = 'fleetDriver.#runTimed';
/**
 * Driver functions that handle the scheduler's effects. They belong to the simulation even if the
 * owner's entry function calls them.
 */
const MODEL_ENTRIES: readonly string[] = ['fleetDriver.#perform', 'fleetDriver.#recordCompletions'];

/** How the samples of one stack frame are attributed. */
interface FrameClass {
  readonly isOwner: boolean;
  readonly isCollection: boolean;
  readonly work: OwnerWork;
  /** File and name of the innermost named function that has a source file. */
  readonly functionPath: string;
}

const workOf = (file: string, functionName: string, callerWork: OwnerWork): OwnerWork => {
  const ownWork = WORK_OF[`${file}.${functionName}`] ?? WORK_OF[file];
  if (ownWork === undefined) return callerWork;
  if (ownWork !== OwnerWork.Interference) return ownWork;
  const isCallerPlacing =
    callerWork === OwnerWork.Placing || callerWork === OwnerWork.PlacingInterference;
  return isCallerPlacing ? OwnerWork.PlacingInterference : ownWork;
};

const classify = ({ nodes }: Profiler.Profile): ReadonlyMap<number, FrameClass> => {
  const classified = new Map<number, FrameClass>();
  const byId = new Map(nodes.map((node) => [node.id, node]));
  const visit = (
    id: number,
    { isOwner: isCallerOwner, work: callerWork, functionPath: callerPath }: FrameClass,
  ): void => {
    const node = byId.get(id);
    if (node === undefined) return;
    const { functionName, url } = node.callFrame;
    const file = url.slice(url.lastIndexOf('/') + 1).replace(/\.[jt]s$/, '');
    const name = `${file}.${functionName}`;
    const isOwner = name === OWNER_ENTRY || (isCallerOwner && !MODEL_ENTRIES.includes(name));
    const work = isOwner ? workOf(file, functionName, callerWork) : OwnerWork.Other;
    const isCollection = functionName === '(garbage collector)';
    const isNamed = file !== '' && functionName !== '';
    const frame = { isOwner, isCollection, work, functionPath: isNamed ? name : callerPath };
    classified.set(id, frame);
    node.children?.forEach((child) => visit(child, frame));
  };
  const [root] = nodes;
  const outermost = {
    isOwner: false,
    isCollection: false,
    work: OwnerWork.Other,
    functionPath: '',
  };
  if (root !== undefined) visit(root.id, outermost);
  return classified;
};

/** Processor time that the main thread has used so far. */
export const mainThreadMs = async (): Promise<number> =>
  Number((await readFile(SCHEDULER_STATISTICS, 'utf8')).split(' ')[0]) / NS_PER_MS;

export interface OwnerTimes {
  readonly msByWork: ReadonlyMap<OwnerWork, number>;
  /**
   * Time by kind of work and function, without garbage collection. Built-in functions count towards
   * their caller.
   */
  readonly msByFunction: ReadonlyMap<string, number>;
  /** Processor time of the main thread per sampled time; below 1 if it waited for a processor. */
  readonly processorShare: number;
}

/**
 * Attributes the samples to the owner's kinds of work and functions.
 *
 * Sampled times include waiting for a processor. They are scaled down to the processor time of the
 * main thread, so that a busy machine distorts them less. Garbage collection that interrupts the
 * owner counts as the owner's. Other threads, which collect garbage and compile, are not counted.
 */
const attributeSamples = (profile: Profiler.Profile, processorMs: number): OwnerTimes => {
  const classified = classify(profile);
  const sampledMs = new Map<OwnerWork, number>();
  const functionMs = new Map<string, number>();
  let totalMs = 0;
  let isOwnerRunning = false;
  (profile.samples ?? []).forEach((id, index) => {
    const sampleMs = (profile.timeDeltas?.[index + 1] ?? 0) / US_PER_MS;
    totalMs += sampleMs;
    const sample = classified.get(id);
    if (sample === undefined) return;
    if (!sample.isCollection) isOwnerRunning = sample.isOwner;
    if (!isOwnerRunning) return;
    const work = sample.isCollection ? OwnerWork.GarbageCollection : sample.work;
    sampledMs.set(work, (sampledMs.get(work) ?? 0) + sampleMs);
    if (sample.isCollection) return;
    const label = `${work}: ${sample.functionPath}`;
    functionMs.set(label, (functionMs.get(label) ?? 0) + sampleMs);
  });
  const processorShare = processorMs / Math.max(1, totalMs);
  const workEntries = Object.values(OwnerWork).map(
    (work) => [work, (sampledMs.get(work) ?? 0) * processorShare] as const,
  );
  const functionEntries = [...functionMs].map(
    ([label, ms]) => [label, ms * processorShare] as const,
  );
  return { msByWork: new Map(workEntries), msByFunction: new Map(functionEntries), processorShare };
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
 * Keeps a profiler running outside the measured periods. Functions that are optimised while no
 * profiler runs lose the information about which functions are inlined into them. Returns a
 * function that stops the profiler.
 */
export const keepProfilerOn = async (): Promise<() => void> => {
  const session = await startProfiler(IDLE_SAMPLING_INTERVAL_US);
  return () => session.disconnect();
};

/** Samples this process during `run` and returns the owner's times. */
export const profileOwner = async (run: () => Promise<void>): Promise<OwnerTimes> => {
  const session = await startProfiler(SAMPLING_INTERVAL_US);
  const usedBeforeMs = await mainThreadMs();
  await run();
  const processorMs = (await mainThreadMs()) - usedBeforeMs;
  const { profile } = (await post(session, 'Profiler.stop')) as Profiler.StopReturnType;
  session.disconnect();
  return attributeSamples(profile, processorMs);
};
