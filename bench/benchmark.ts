/** One benchmark; it prints its figures and returns false when a committed bound is crossed. */
export interface Benchmark {
  readonly name: string;
  readonly run: (args: readonly string[]) => Promise<boolean>;
}
