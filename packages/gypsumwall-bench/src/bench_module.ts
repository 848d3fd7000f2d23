/** What one bench takes and gives; `bin/bench.ts` runs a list of them. */

/** How long and on which random numbers a bench runs. */
export interface BenchOptions {
  /** Same tables in under a minute: fewer seeds and shorter runs. */
  readonly quick: boolean;
  /** One run for each; ratios are taken inside one run. */
  readonly seeds: readonly number[];
}

/** Rows of figures under named columns; the units are in the column names. */
export interface BenchTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: ReadonlyArray<ReadonlyArray<string | number>>;
}

/** One line of a plot. */
export interface BenchSeries {
  readonly name: string;
  readonly points: ReadonlyArray<{readonly x: number; readonly y: number}>;
}

/** A plot of one or more lines. */
export interface BenchPlot {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly logX?: boolean;
  readonly logY?: boolean;
  readonly series: readonly BenchSeries[];
}

/** What a bench measured. */
export interface BenchReport {
  /** How the figures came about and how bounds are computed. */
  readonly notes: readonly string[];
  readonly tables: readonly BenchTable[];
  readonly plots: readonly BenchPlot[];
}

/** A bench with a name that `--only` takes. */
export interface BenchModule {
  readonly name: string;
  run(options: BenchOptions): Promise<BenchReport>;
}
