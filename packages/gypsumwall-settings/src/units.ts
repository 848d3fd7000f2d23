/** Knows the unit that a key's ending names, and turns other units into it. */

interface Unit {
  readonly suffix: RegExp;
  readonly name: string;
  /** How many of this unit one of another is, by its written name. */
  readonly factors: Readonly<Record<string, number>>;
}

const UNITS: readonly Unit[] = [
  {
    suffix: /Ms$/,
    name: 'milliseconds',
    factors: {ms: 1, s: 1_000, m: 60_000, min: 60_000, h: 3_600_000},
  },
  {
    suffix: /Mb$/,
    name: 'mebibytes',
    factors: {mb: 1, mib: 1, gb: 1_024, gib: 1_024, tb: 1_048_576},
  },
  {
    suffix: /Millis$/,
    name: 'thousandths of a core',
    factors: {core: 1_000, cores: 1_000, m: 1},
  },
];

/** Endings that name a unit, right or wrong; left out to compare keys. */
const UNIT_ENDING =
  /(ms|msecs?|millis|milliseconds?|secs?|seconds?|minutes?|mb|gb|bytes)$/;

const NUMBER_WITH_UNIT = /^\s*(\d+(?:\.\d+)?)\s*([a-z]+)\s*$/i;

function unitOf(key: string): Unit | undefined {
  return UNITS.find((unit) => unit.suffix.test(key));
}

/** ` (milliseconds)` for a key that ends in Ms; empty for one without unit. */
export function unitPhrase(key: string): string {
  const unit = unitOf(key);
  return unit === undefined ? '' : ` (${unit.name})`;
}

/** The number that was meant by a text such as `2s`, in the key's unit. */
export function convert(key: string, value: unknown): number | undefined {
  if (typeof value !== 'string') return undefined;
  const match = NUMBER_WITH_UNIT.exec(value);
  const factor = unitOf(key)?.factors[match?.[2]?.toLowerCase() ?? ''];
  if (match === null || factor === undefined) return undefined;
  return Math.round(Number(match[1]) * factor);
}

/** The known key that differs only in case, in its unit or in its end. */
export function nearestKey(
  key: string,
  known: readonly string[],
): string | undefined {
  const stem = stemOf(key);
  const same = known.find((other) => stemOf(other) === stem);
  const start = known.find(
    (other) => stemOf(other).startsWith(stem) || stem.startsWith(stemOf(other)),
  );
  return same ?? start;
}

function stemOf(key: string): string {
  return key
    .toLowerCase()
    .replace(/[^a-z0-9]/g, '')
    .replace(UNIT_ENDING, '');
}
