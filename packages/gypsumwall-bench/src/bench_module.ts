/**
 * Interface of a benchmark: its options and its report. `bin/bench.ts` runs a
 * list of them.
 */

/** Duration and random seeds of a benchmark run. */
export interface BenchOptions {
  /**
   * Produces the same tables in under a minute, with fewer seeds and shorter
   * runs.
   */
  readonly quick: boolean;
  /**
   * The benchmark runs once per seed; ratios compare results of the same seed
   * only.
   */
  readonly seeds: readonly number[];
}

/** A table of results. Units are part of the column names. */
export interface BenchTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: ReadonlyArray<ReadonlyArray<string | number>>;
}

/** One curve of a plot. */
export interface BenchSeries {
  readonly name: string;
  readonly points: ReadonlyArray<{readonly x: number; readonly y: number}>;
}

/** A plot of one or more curves. */
export interface BenchPlot {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly logX?: boolean;
  readonly logY?: boolean;
  readonly series: readonly BenchSeries[];
}

/** The results of a benchmark. */
export interface BenchReport {
  /** How the values were measured and how bounds are computed. */
  readonly notes: readonly string[];
  readonly tables: readonly BenchTable[];
  readonly plots: readonly BenchPlot[];
}

/** A benchmark; `--only` selects it by its name. */
export interface BenchModule {
  readonly name: string;
  run(options: BenchOptions): Promise<BenchReport>;
}
