/** Formats the demo's statistics as a table. */
import type * as demoStatistics from './demo_statistics.js';

const COLUMN_HEADINGS = [
  'class',
  'sent',
  'done',
  'refused',
  'unknown',
  'wait p50 ms',
  'wait p99 ms',
];

/** Formats the table, with one row for each class. */
export function formatTable(
  rows: readonly demoStatistics.ClassStatistics[],
): string {
  const cells = rows.map((row) => [
    row.name,
    String(row.sent),
    String(row.done),
    String(row.refused),
    String(row.unknown),
    formatMs(row.waitP50Ms),
    formatMs(row.waitP99Ms),
  ]);
  const widths = COLUMN_HEADINGS.map((head, column) =>
    Math.max(head.length, ...cells.map((row) => row[column]?.length ?? 0)),
  );
  const line = (row: readonly string[]): string =>
    row
      .map((cell, column) => {
        const width = widths[column] ?? 0;
        return column === 0 ? cell.padEnd(width) : cell.padStart(width);
      })
      .join('  ');
  const rule = widths.map((width) => '-'.repeat(width));
  return [line(COLUMN_HEADINGS), line(rule), ...cells.map(line)].join('\n');
}

function formatMs(value: number | undefined): string {
  return value === undefined ? '-' : value.toFixed(1);
}

/** Formats a share as a percentage. */
export function formatShare(share: number): string {
  return `${(share * 100).toFixed(1)} %`;
}
