/** A benchmark. `run` prints its figures and returns false if a committed bound is violated. */
export interface Benchmark {
  readonly name: string;
  readonly run: (args: readonly string[]) => Promise<boolean>;
}
