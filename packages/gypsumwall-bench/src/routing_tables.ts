/** Tables and plot of the routing benchmark. */
import type * as types from '@gypsumwall/types';
import type * as benchModule from './bench_module.js';
import * as routingCases from './routing_cases.js';
import type * as routingRun from './routing_run.js';

const URGENCIES: readonly types.job.Urgency[] = [
  'urgent',
  'normal',
  'overnight',
];
const TENTHS_PER_MS = 10;

/** Results of one contender in one case, one run per seed. */
export interface MeasuredCase {
  readonly benchCase: routingCases.Case;
  readonly contender: routingCases.Contender;
  readonly figures: readonly routingRun.RunFigures[];
}

/** Outcomes that callers received, and the cost of routing. */
export function outcomeTable(
  measured: readonly MeasuredCase[],
): benchModule.BenchTable {
  return {
    title: 'Outcomes',
    columns: [
      'case, router',
      'goodput',
      'amplification',
      'not_run %',
      'unknown %',
      'late %',
      'refused after p50 ms',
      'p99 ms',
      'upstream refusals',
      'CPU us/request',
    ],
    rows: measured.map(({benchCase, contender, figures}) => [
      `${benchCase.name}, ${contender.name}`,
      formatMedianAndRange(figures, (each) => each.goodput),
      formatMedianAndRange(figures, (each) => each.amplification),
      formatMedianAndRange(
        figures,
        (each) => (100 * each.notRun) / sentOf(each),
      ),
      formatMedianAndRange(
        figures,
        (each) => (100 * each.unknown) / sentOf(each),
      ),
      formatMedianAndRange(figures, (each) => (100 * each.late) / sentOf(each)),
      formatMedianAndRange(
        figures,
        (each) => each.refusalTenths.getValueAtPercentile(50) / TENTHS_PER_MS,
      ),
      formatMedianAndRange(
        figures,
        (each) => each.refusalTenths.getValueAtPercentile(99) / TENTHS_PER_MS,
      ),
      formatMedianAndRange(figures, (each) => each.upstreamRefusals),
      formatMedianAndRange(figures, (each) => each.cpuMicros),
    ]),
  };
}

/** Waiting times of the callers, by urgency. */
export function waitingTable(
  measured: readonly MeasuredCase[],
): benchModule.BenchTable {
  const rows = measured.flatMap(({benchCase, contender, figures}) =>
    urgenciesToShow(benchCase).map((urgency) => {
      const waited = (percentile: number) =>
        formatMedianAndRange(
          figures,
          (each) =>
            each.byUrgency[urgency].waitTenths.getValueAtPercentile(
              percentile,
            ) / TENTHS_PER_MS,
        );
      const inTime = formatMedianAndRange(figures, (each) => {
        const {doneInTime, sentCount} = each.byUrgency[urgency];
        return (100 * doneInTime) / sentCount;
      });
      const answered = formatMedianAndRange(
        figures,
        (each) =>
          each.byUrgency[urgency].answerTenths.getValueAtPercentile(99) /
          TENTHS_PER_MS,
      );
      const name = `${benchCase.name}, ${contender.name}, ${urgency}`;
      return [name, waited(50), waited(99), waited(99.9), answered, inTime];
    }),
  );
  return {
    title: 'Waiting from arrival to the first try, and answers in time',
    columns: [
      'case, router, urgency',
      'p50 ms',
      'p99 ms',
      'p99.9 ms',
      'answer p99 ms',
      'in time %',
    ],
    rows,
  };
}

/** For cases with a fault, only urgent requests are shown. */
function urgenciesToShow(
  benchCase: routingCases.Case,
): readonly types.job.Urgency[] {
  return benchCase.fault === 'none' ? URGENCIES : ['urgent'];
}

/** Plots goodput against load. */
export function goodputPlot(
  measured: readonly MeasuredCase[],
): benchModule.BenchPlot {
  const series = [routingCases.POLICY, routingCases.BASELINE].map(
    (contender) => ({
      name: contender.name,
      points: measured
        .filter((each) => each.contender === contender)
        .filter((each) => routingCases.LOAD_CASES.includes(each.benchCase))
        .map((each) => ({
          x: each.benchCase.load,
          y: median(each.figures.map((figures) => figures.goodput)),
        })),
    }),
  );
  return {
    title: 'Goodput under overload',
    xLabel: 'offered load over capacity',
    yLabel: 'useful slot time over all slot time',
    series,
  };
}

function sentOf(figures: routingRun.RunFigures): number {
  return URGENCIES.reduce(
    (sum, each) => sum + figures.byUrgency[each].sentCount,
    0,
  );
}

/** Formats the median with the minimum and maximum, where they differ. */
function formatMedianAndRange(
  figures: readonly routingRun.RunFigures[],
  valueOf: (figures: routingRun.RunFigures) => number,
): string {
  const values = figures.map(valueOf);
  const formatNumber = (value: number) => String(Number(value.toPrecision(3)));
  const min = formatNumber(Math.min(...values));
  const max = formatNumber(Math.max(...values));
  const middle = formatNumber(median(values));
  return min === max ? middle : `${middle} [${min}..${max}]`;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted.length >> 1;
  const upper = sorted[middle] ?? 0;
  if (sorted.length % 2 === 1) return upper;
  return ((sorted[middle - 1] ?? 0) + upper) / 2;
}
