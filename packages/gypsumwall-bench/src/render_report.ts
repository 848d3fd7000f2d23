/**
 * Renders the report as one HTML page with SVG plots, without a plotting
 * library.
 */
import type * as benchModule from './bench_module.js';
import * as formatTable from './format_table.js';

const WIDTH_PX = 640;
const HEIGHT_PX = 320;
const MARGIN_PX = 60;
const TICK_COUNT = 5;
const SERIES_COLOURS = ['#1b6ca8', '#c8553d', '#3a7d44', '#7d3c98', '#8a6d3b'];

/** The results of one benchmark, as a section of the page. */
export interface ReportSection {
  readonly name: string;
  readonly report: benchModule.BenchReport;
}

export function renderReport(
  title: string,
  sections: readonly ReportSection[],
): string {
  const body = sections.map(renderSection).join('\n');
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${escapeText(title)}</title>
<style>
body{font-family:sans-serif;margin:2em;max-width:75em}
table{border-collapse:collapse;margin:1em 0}
td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}
td:first-child,th:first-child{text-align:left}
</style></head><body>
<h1>${escapeText(title)}</h1>
${body}
</body></html>
`;
}

function renderSection(section: ReportSection): string {
  const notes = section.report.notes
    .map((note) => `<li>${escapeText(note)}</li>`)
    .join('');
  const tables = section.report.tables.map(renderTable).join('\n');
  const plots = section.report.plots.map(renderPlot).join('\n');
  return `<h2>${escapeText(section.name)}</h2><ul>${notes}</ul>${tables}${plots}`;
}

function renderTable(table: benchModule.BenchTable): string {
  const headerCells = table.columns.map(
    (each) => `<th>${escapeText(each)}</th>`,
  );
  const rows = table.rows.map((row) => {
    const cells = row.map(
      (cell) => `<td>${escapeText(formatTable.formatCell(cell))}</td>`,
    );
    return `<tr>${cells.join('')}</tr>`;
  });
  return `<h3>${escapeText(table.title)}</h3><table><tr>${headerCells.join('')}</tr>${rows.join('')}</table>`;
}

/** Maps the values of one axis to pixels. */
interface Axis {
  readonly toPixel: (value: number) => number;
  readonly ticks: readonly number[];
}

function createAxis(
  values: readonly number[],
  isLogarithmic: boolean,
  startPx: number,
  endPx: number,
): Axis {
  const usable = values.filter((each) => !isLogarithmic || each > 0);
  const scale = (value: number) =>
    isLogarithmic ? Math.log10(Math.max(value, Number.MIN_VALUE)) : value;
  const low = isLogarithmic ? scale(Math.min(...usable)) : 0;
  const high = Math.max(scale(Math.max(...usable)), low + 1e-9);
  const toPixel = (value: number) =>
    startPx + ((scale(value) - low) / (high - low)) * (endPx - startPx);
  const ticks = Array.from({length: TICK_COUNT}, (_, index) => {
    const at = low + ((high - low) * index) / (TICK_COUNT - 1);
    return isLogarithmic ? 10 ** at : at;
  });
  return {toPixel, ticks};
}

/** Renders a plot as SVG; returns an empty string if it has no points. */
export function renderPlot(plot: benchModule.BenchPlot): string {
  const points = plot.series.flatMap((each) => each.points);
  if (points.length === 0) return '';
  const xAxis = createAxis(
    points.map((each) => each.x),
    plot.logX === true,
    MARGIN_PX,
    WIDTH_PX - MARGIN_PX,
  );
  const yAxis = createAxis(
    points.map((each) => each.y),
    plot.logY === true,
    HEIGHT_PX - MARGIN_PX,
    MARGIN_PX / 2,
  );
  const parts = [
    ...xAxis.ticks.map((tick) =>
      renderTickLabel(xAxis.toPixel(tick), HEIGHT_PX - MARGIN_PX + 18, tick),
    ),
    ...yAxis.ticks.map((tick) =>
      renderTickLabel(MARGIN_PX - 28, yAxis.toPixel(tick) + 4, tick),
    ),
    ...plot.series.map((each, index) =>
      renderSeries(each, index, xAxis, yAxis),
    ),
    renderText(WIDTH_PX / 2, HEIGHT_PX - 12, plot.xLabel),
    renderText(WIDTH_PX / 2, 14, `${plot.title} (${plot.yLabel})`),
    `<path d="M${MARGIN_PX} ${MARGIN_PX / 2}V${HEIGHT_PX - MARGIN_PX}H${WIDTH_PX - MARGIN_PX}" fill="none" stroke="#333"/>`,
  ];
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH_PX}" height="${HEIGHT_PX}" font-size="11">${parts.join('')}</svg>`;
}

function renderSeries(
  series: benchModule.BenchSeries,
  index: number,
  xAxis: Axis,
  yAxis: Axis,
): string {
  const colour = SERIES_COLOURS[index % SERIES_COLOURS.length];
  const path = series.points
    .map(
      (each) =>
        `${roundToTenth(xAxis.toPixel(each.x))},${roundToTenth(yAxis.toPixel(each.y))}`,
    )
    .join(' ');
  const dots = series.points
    .map(
      (each) =>
        `<circle cx="${roundToTenth(xAxis.toPixel(each.x))}" cy="${roundToTenth(yAxis.toPixel(each.y))}" r="3" fill="${colour}"/>`,
    )
    .join('');
  const name = `<text x="${MARGIN_PX + 8}" y="${MARGIN_PX / 2 + 14 * (index + 1)}" fill="${colour}">${escapeText(series.name)}</text>`;
  return `<polyline points="${path}" fill="none" stroke="${colour}"/>${dots}${name}`;
}

function renderTickLabel(x: number, y: number, value: number): string {
  return renderText(x, y, formatTable.formatCell(Number(value.toPrecision(3))));
}

function renderText(x: number, y: number, content: string): string {
  return `<text x="${roundToTenth(x)}" y="${roundToTenth(y)}" text-anchor="middle">${escapeText(content)}</text>`;
}

function roundToTenth(value: number): number {
  return Math.round(value * 10) / 10;
}

function escapeText(content: string): string {
  return content
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}
