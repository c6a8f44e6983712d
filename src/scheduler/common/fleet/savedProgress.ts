/** The newest saved progress of a task or of a gang, from which the next run resumes. */
export class SavedProgress {
  #checkpoint = '';

  #learntAtMs = 0;

  /** The checkpoint to resume from; empty if there is none. */
  get checkpoint(): string {
    return this.#checkpoint;
  }

  /** When the owner learnt of the checkpoint. */
  get learntAtMs(): number {
    return this.#learntAtMs;
  }

  /** Records the checkpoint that a worker lists. An empty one means that the run has saved none. */
  noteListed(checkpoint: string, nowMs: number): void {
    if (checkpoint === '' || checkpoint === this.#checkpoint) return;
    this.#checkpoint = checkpoint;
    this.#learntAtMs = nowMs;
  }
}
