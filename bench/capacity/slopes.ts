/** Fits straight lines to measurements at several sizes. */

/** A size and the value measured at it. */
export interface DataPoint {
  readonly size: number;
  readonly value: number;
}

/** A straight line: its value at size 0 and its slope. */
export interface Line {
  readonly atZero: number;
  readonly slope: number;
  /** The largest deviation of a measurement from the line, as a share of the largest value. */
  readonly worstMissRatio: number;
}

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/** Fits a least-squares line and reports the largest deviation from it. */
export const fitLine = (points: readonly DataPoint[]): Line => {
  const meanSize = mean(points.map(({ size }) => size));
  const meanValue = mean(points.map(({ value }) => value));
  const spread = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
  const slope =
    points.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0) /
    spread;
  const atZero = meanValue - slope * meanSize;
  const largest = Math.max(...points.map(({ value }) => Math.abs(value)), Number.MIN_VALUE);
  const deviations = points.map(({ size, value }) => Math.abs(atZero + slope * size - value));
  return { atZero, slope, worstMissRatio: Math.max(...deviations) / largest };
};

const FIGURE_DIGITS = 4;

/** Rounds a value to the significant digits of the committed results. */
export const roundFigure = (value: number): number => Number(value.toPrecision(FIGURE_DIGITS));

/** Fits a line to one field of the rows, with rounded values for the results. */
export const fitRows = <Row>(
  rows: readonly Row[],
  toSize: (row: Row) => number,
  toValue: (row: Row) => number,
): Line => {
  const line = fitLine(rows.map((row) => ({ size: toSize(row), value: toValue(row) })));
  return {
    atZero: roundFigure(line.atZero),
    slope: roundFigure(line.slope),
    worstMissRatio: roundFigure(line.worstMissRatio),
  };
};

/** Runs measurements one after the other, so that they do not disturb each other. */
export const runSequentially = <Item, Result>(
  items: readonly Item[],
  run: (item: Item) => Promise<Result>,
): Promise<readonly Result[]> =>
  items.reduce<Promise<readonly Result[]>>(
    async (before, item) => [...(await before), await run(item)],
    Promise.resolve([]),
  );
