/** Tables and plot of the routing bench. */
import type * as types from '@gypsumwall/types';
import type * as benchModule from './bench_module.js';
import * as routingCases from './routing_cases.js';
import type * as routingRun from './routing_run.js';

const URGENCIES: readonly types.job.Urgency[] = [
  'urgent',
  'normal',
  'overnight',
];
const TENTHS = 10;

/** A case met by one contender, a run for each seed. */
export interface Measured {
  readonly one: routingCases.Case;
  readonly contender: routingCases.Contender;
  readonly figures: readonly routingRun.RunFigures[];
}

/** What callers were told, and what it cost. */
export function outcomeTable(
  measured: readonly Measured[],
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
    rows: measured.map(({one, contender, figures}) => [
      `${one.name}, ${contender.name}`,
      spread(figures, (each) => each.goodput),
      spread(figures, (each) => each.amplification),
      spread(figures, (each) => (100 * each.notRun) / sentOf(each)),
      spread(figures, (each) => (100 * each.unknown) / sentOf(each)),
      spread(figures, (each) => (100 * each.late) / sentOf(each)),
      spread(
        figures,
        (each) => each.refusedAfter.getValueAtPercentile(50) / TENTHS,
      ),
      spread(
        figures,
        (each) => each.refusedAfter.getValueAtPercentile(99) / TENTHS,
      ),
      spread(figures, (each) => each.upstreamRefusals),
      spread(figures, (each) => each.cpuMicros),
    ]),
  };
}

/** How long callers waited. */
export function waitingTable(
  measured: readonly Measured[],
): benchModule.BenchTable {
  const rows = measured.flatMap(({one, contender, figures}) =>
    shownUrgencies(one).map((urgency) => {
      const waited = (percentile: number) =>
        spread(
          figures,
          (each) =>
            each.byUrgency[urgency].waited.getValueAtPercentile(percentile) /
            TENTHS,
        );
      const inTime = spread(figures, (each) => {
        const {done, sent} = each.byUrgency[urgency];
        return (100 * done) / sent;
      });
      const answered = spread(
        figures,
        (each) =>
          each.byUrgency[urgency].answered.getValueAtPercentile(99) / TENTHS,
      );
      const name = `${one.name}, ${contender.name}, ${urgency}`;
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

/** With a fault, the urgent alone tell enough. */
function shownUrgencies(one: routingCases.Case): readonly types.job.Urgency[] {
  return one.fault === 'none' ? URGENCIES : ['urgent'];
}

/** Goodput over load. */
export function goodputPlot(
  measured: readonly Measured[],
): benchModule.BenchPlot {
  const series = [routingCases.POLICY, routingCases.BASELINE].map(
    (contender) => ({
      name: contender.name,
      points: measured
        .filter((each) => each.contender === contender)
        .filter((each) => routingCases.LOADS.includes(each.one))
        .map((each) => ({
          x: each.one.load,
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
  return URGENCIES.reduce((sum, each) => sum + figures.byUrgency[each].sent, 0);
}

/** The median, with the least and the greatest. */
function spread(
  figures: readonly routingRun.RunFigures[],
  valueOf: (figures: routingRun.RunFigures) => number,
): string {
  const values = figures.map(valueOf);
  const short = (value: number) => String(Number(value.toPrecision(3)));
  const least = short(Math.min(...values));
  const greatest = short(Math.max(...values));
  const middle = short(median(values));
  return least === greatest ? middle : `${middle} [${least}..${greatest}]`;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted.length >> 1;
  const upper = sorted[middle] ?? 0;
  if (sorted.length % 2 === 1) return upper;
  return ((sorted[middle - 1] ?? 0) + upper) / 2;
}
