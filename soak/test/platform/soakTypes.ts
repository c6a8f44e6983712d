/** Types of the platform soak: submissions, workers and faults. */
export type WriteLog = (event: string, fields: Readonly<Record<string, unknown>>) => void;

/**
 * The address at which the instances of each zone reach the workers. All differ from 127.0.0.1, on
 * which the workers listen themselves.
 */
export const ZONE_HOSTS = { 'zone-a': '127.0.0.2', 'zone-b': '127.0.0.3', 'zone-c': '127.0.0.4' };
export type Zone = keyof typeof ZONE_HOSTS;
export const ZONES = Object.keys(ZONE_HOSTS) as readonly Zone[];

export interface TaskSize {
  readonly processorMillis: number;
  readonly memoryMegabytes: number;
}

export interface SoakStep {
  readonly taskCount: number;
  readonly size: TaskSize;
  readonly after: readonly number[];
  readonly workMs: number;
  readonly isPersistent: boolean;
  /** Whether each run of its tasks ends as failed. */
  readonly isFailing?: boolean;
}

export interface SoakSubmission {
  readonly id: string;
  readonly steps: readonly SoakStep[];
}

/** One incarnation of a worker. A restart under the same id is another incarnation. */
export interface WorkerIncarnation {
  readonly key: string;
  readonly workerId: string;
  readonly capacity: TaskSize;
}

export const RunOutcome = { Done: 'done', Failed: 'failed', Other: 'other' } as const;
export type RunOutcome = (typeof RunOutcome)[keyof typeof RunOutcome];

/** The scope of a fault, which determines the checks that it excuses. */
export const FaultScope = {
  /** Daemons may be cut off from the store or frozen. */
  Core: 'core',
  /** Daemons or workers are killed, or workers are cut off. */
  Unplanned: 'unplanned',
  /** Planned work excuses nothing. */
  Planned: 'planned',
} as const;
export type FaultScope = (typeof FaultScope)[keyof typeof FaultScope];

export interface TaskPosition {
  readonly submissionId: string;
  readonly stepIndex: number;
}

/** Parses a task name. Returns undefined if the name has another form. */
export const parseTaskName = (taskName: string): TaskPosition | undefined => {
  const [submissionId, occurrence, step, index] = taskName.split('.');
  if (submissionId === undefined || occurrence !== '0' || index === undefined) return undefined;
  return { submissionId, stepIndex: Number(step) };
};

/** Returns the names of a step's tasks. */
export const taskNames = ({ id, steps }: SoakSubmission, stepIndex: number): readonly string[] =>
  Array.from(
    { length: steps[stepIndex]?.taskCount ?? 0 },
    (_, index) => `${id}.0.${stepIndex}.${index}`,
  );
