/** A task run that ended in one way, and whether a scheduler has acknowledged the end. */
export interface EndRecord {
  readonly incarnationKey: string;
  readonly taskName: string;
  readonly endedAtMs: number;
  sequence: number | undefined;
  isAcknowledged: boolean;
  /** The lease lapsed before the end was acknowledged, so the task may run again. */
  isLapsed: boolean;
}

export class EndRecords {
  readonly #byTask = new Map<string, EndRecord[]>();

  /** Ends that are not acknowledged yet, by worker incarnation. */
  readonly #open = new Map<string, EndRecord[]>();

  noteEnd(incarnationKey: string, taskName: string, endedAtMs: number): void {
    const flags = { sequence: undefined, isAcknowledged: false, isLapsed: false };
    const end = { incarnationKey, taskName, endedAtMs, ...flags };
    this.#byTask.set(taskName, [...(this.#byTask.get(taskName) ?? []), end]);
    this.#open.set(incarnationKey, [...(this.#open.get(incarnationKey) ?? []), end]);
  }

  noteListed(incarnationKey: string, sequence: number, taskName: string): void {
    const end = this.#open.get(incarnationKey)?.find((open) => open.taskName === taskName);
    if (end !== undefined) end.sequence = sequence;
  }

  noteLeaseLapsed(incarnationKey: string): void {
    (this.#open.get(incarnationKey) ?? []).forEach((end) => Object.assign(end, { isLapsed: true }));
  }

  /** Acknowledges ends up to a sequence. Returns those whose lease has not lapsed. */
  acknowledge(incarnationKey: string, upTo: number): readonly EndRecord[] {
    const open = this.#open.get(incarnationKey) ?? [];
    const isReached = ({ sequence }: EndRecord): boolean => (sequence ?? Infinity) <= upTo;
    this.#open.set(
      incarnationKey,
      open.filter((end) => !isReached(end)),
    );
    const reached = open.filter((end) => isReached(end) && !end.isLapsed);
    reached.forEach((end) => Object.assign(end, { isAcknowledged: true }));
    return reached;
  }

  has(taskName: string): boolean {
    return this.#byTask.has(taskName);
  }

  acknowledgedCount(taskName: string): number {
    const ends = this.#byTask.get(taskName) ?? [];
    return ends.filter(({ isAcknowledged }) => isAcknowledged).length;
  }
}
