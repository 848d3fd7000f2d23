/** The command line of `npm run soak:platform`. */
import * as util from 'node:util';

/** Checked options of the command. */
export interface CampaignCommand {
  readonly seeds: readonly number[];
  /** Number of entries; undefined if each seed draws its own. */
  readonly entries: number | undefined;
  readonly organisations: number;
  /** Processor share of an entry's instance, as its settings say. */
  readonly cpuShare: number;
  readonly durationMs: number;
  readonly crashesBesideKills: boolean;
  /** Folder of a built program; undefined for that of the deploy file. */
  readonly program: string | undefined;
}

const SECOND_MS = 1_000;
const MAX_ENTRIES = 6;
const MAX_ORGANISATIONS = 9;
const MAX_SEEDS = 10_000;
const MAX_SEED = 1_000_000;
const MAX_SECONDS = 600;

/** Parses the arguments; throws with the option, its value and the remedy. */
export function parseCampaignCommand(
  args: readonly string[],
  randomSeed: number,
): CampaignCommand {
  const {values} = util.parseArgs({
    args: [...args],
    options: {
      seeds: {type: 'string', default: '5'},
      from: {type: 'string', default: `${randomSeed}`},
      entries: {type: 'string'},
      organisations: {type: 'string', default: '2'},
      'cpu-percent': {type: 'string', default: '100'},
      seconds: {type: 'string', default: '20'},
      crashes: {type: 'boolean', default: false},
      program: {type: 'string'},
    },
  });
  const {entries} = values;
  const from = wholeNumber('from', values.from, 0, MAX_SEED);
  const count = wholeNumber('seeds', values.seeds, 1, MAX_SEEDS);
  const seconds = wholeNumber('seconds', values.seconds, 1, MAX_SECONDS);
  return {
    seeds: Array.from({length: count}, (_, nth) => from + nth),
    entries:
      entries === undefined
        ? undefined
        : wholeNumber('entries', entries, 1, MAX_ENTRIES),
    organisations: wholeNumber(
      'organisations',
      values.organisations,
      0,
      MAX_ORGANISATIONS,
    ),
    cpuShare: wholeNumber('cpu-percent', values['cpu-percent'], 1, 100) / 100,
    durationMs: seconds * SECOND_MS,
    crashesBesideKills: values.crashes,
    program: values.program,
  };
}

function wholeNumber(
  option: string,
  value: string,
  low: number,
  high: number,
): number {
  const parsed = /^\d+$/.test(value) ? Number(value) : NaN;
  if (parsed >= low && parsed <= high) return parsed;
  throw new Error(
    `--${option}=${value}: give a whole number from ${low} to ${high}`,
  );
}
