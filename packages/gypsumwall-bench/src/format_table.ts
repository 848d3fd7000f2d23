/** Formats tables as text for a terminal. */
import type * as benchModule from './bench_module.js';

/** Aligns the first column to the left and all others to the right. */
export function formatTable(table: benchModule.BenchTable): string {
  const cells = [table.columns, ...table.rows].map((row) =>
    row.map((cell) => formatCell(cell)),
  );
  const widths = table.columns.map((_, column) =>
    Math.max(...cells.map((row) => (row[column] ?? '').length)),
  );
  const lines = cells.map((row) =>
    row
      .map((cell, column) =>
        column === 0
          ? cell.padEnd(widths[column] ?? 0)
          : cell.padStart(widths[column] ?? 0),
      )
      .join('  ')
      .trimEnd(),
  );
  const separator = widths.map((width) => '-'.repeat(width)).join('  ');
  return [table.title, lines[0], separator, ...lines.slice(1)].join('\n');
}

/**
 * Formats a number with at most four significant digits; integers keep all
 * digits.
 */
export function formatCell(cell: string | number): string {
  if (typeof cell === 'string') return cell;
  if (Number.isInteger(cell)) return String(cell);
  return String(Number(cell.toPrecision(4)));
}
