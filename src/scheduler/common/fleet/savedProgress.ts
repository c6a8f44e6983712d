/** Where the owner has a checkpoint from. */
export const CheckpointSource = {
  /** A worker has listed it to this owner. */
  Listed: 'listed',
  /** A former owner has stored it. */
  Stored: 'stored',
} as const;
export type CheckpointSource = (typeof CheckpointSource)[keyof typeof CheckpointSource];

/** The newest saved progress of a task or of a gang, from which the next run resumes. */
export class SavedProgress {
  #checkpoint = '';

  #source: CheckpointSource = CheckpointSource.Listed;

  #learntAtMs = 0;

  /** The checkpoint to resume from; empty if there is none. */
  get checkpoint(): string {
    return this.#checkpoint;
  }

  get source(): CheckpointSource {
    return this.#source;
  }

  /** When the owner learnt of the checkpoint. */
  get learntAtMs(): number {
    return this.#learntAtMs;
  }

  /**
   * Records the checkpoint that a worker lists. An empty one means that the run has saved none.
   * Returns whether the checkpoint has changed.
   */
  noteListed(checkpoint: string, nowMs: number): boolean {
    if (checkpoint === '' || checkpoint === this.#checkpoint) return false;
    this.#set(checkpoint, CheckpointSource.Listed, nowMs);
    return true;
  }

  /** Takes over a stored checkpoint, unless a worker has listed one. */
  inherit(checkpoint: string, nowMs: number): void {
    if (this.#checkpoint === '') this.#set(checkpoint, CheckpointSource.Stored, nowMs);
  }

  #set(checkpoint: string, source: CheckpointSource, nowMs: number): void {
    this.#checkpoint = checkpoint;
    this.#source = source;
    this.#learntAtMs = nowMs;
  }
}
