/**
 * Units that a key's suffix names, such as `Ms`, and the conversion of values
 * that are written in another unit.
 */

interface Unit {
  readonly suffix: RegExp;
  readonly name: string;
  /**
   * The units that values may be written in, by abbreviation; each number is
   * the size of that unit in this one.
   */
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

/** Suffixes that may name a unit; removed before keys are compared. */
const UNIT_SUFFIX =
  /(ms|msecs?|millis|milliseconds?|secs?|seconds?|minutes?|mb|gb|bytes)$/;

const NUMBER_WITH_UNIT = /^\s*(\d+(?:\.\d+)?)\s*([a-z]+)\s*$/i;

function findUnit(key: string): Unit | undefined {
  return UNITS.find((unit) => unit.suffix.test(key));
}

/**
 * Returns the unit of a key in the form ` (milliseconds)`, or an empty text if
 * the key has no unit.
 */
export function describeUnit(key: string): string {
  const unit = findUnit(key);
  return unit === undefined ? '' : ` (${unit.name})`;
}

/**
 * Converts a text such as `2s` to a number in the unit of the key. Returns
 * undefined if that is not possible.
 */
export function convertToKeyUnit(
  key: string,
  value: unknown,
): number | undefined {
  if (typeof value !== 'string') return undefined;
  const match = NUMBER_WITH_UNIT.exec(value);
  const factor = findUnit(key)?.factors[match?.[2]?.toLowerCase() ?? ''];
  if (match === null || factor === undefined) return undefined;
  return Math.round(Number(match[1]) * factor);
}

/**
 * Returns the first known key that equals `key`, or else the first that is a
 * prefix of `key` or starts with `key`. Case, punctuation and unit suffixes are
 * ignored.
 */
export function findNearestKey(
  key: string,
  known: readonly string[],
): string | undefined {
  const stem = toStem(key);
  const equalMatch = known.find((other) => toStem(other) === stem);
  const prefixMatch = known.find(
    (other) => toStem(other).startsWith(stem) || stem.startsWith(toStem(other)),
  );
  return equalMatch ?? prefixMatch;
}

function toStem(key: string): string {
  return key
    .toLowerCase()
    .replace(/[^a-z0-9]/g, '')
    .replace(UNIT_SUFFIX, '');
}
