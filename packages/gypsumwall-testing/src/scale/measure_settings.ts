/**
 * Measures how long a published setting takes until every entry of a cell
 * shows it, over real processes.
 */
import * as timers from 'node:timers/promises';
import * as hdr from 'hdr-histogram-js';
import * as exampleCell from '../example_cell.js';
import * as launchCell from '../launch_cell.js';

/** From the send of a publish until the last entry shows it. */
export interface SettingsFigures {
  readonly entries: number;
  readonly publishes: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

const PATH = 'teams/filing';
const POLL_MS = 5;
const TIMEOUT_MS = 12_000;

/** Starts the example cell and publishes one subtree again and again. */
export async function measureSettings(
  publishes: number,
): Promise<SettingsFigures> {
  const example = exampleCell.readExampleCell('skyroute');
  const cell = await launchCell.launchCell({
    ...example,
    entryCommand: exampleCell.ENTRY_COMMAND,
    relayed: false,
    seed: 1,
  });
  const spans = hdr.build({numberOfSignificantValueDigits: 3});
  try {
    for (let n = 0; n < publishes; n += 1) {
      spans.recordValue(Math.ceil(await publishOnce(cell, n)));
    }
    return {
      entries: cell.entries().length,
      publishes,
      p50Ms: spans.getValueAtPercentile(50),
      p99Ms: spans.getValueAtPercentile(99),
      maxMs: spans.maxValue,
    };
  } finally {
    await cell.close();
  }
}

async function publishOnce(cell: launchCell.Cell, n: number): Promise<number> {
  const token = cell.options.tokens.rootOperator;
  const entries = cell.entries();
  const publisher = entries[n % entries.length]?.client;
  const seen = await publisher?.setting(token, PATH);
  if (publisher === undefined || seen === undefined) {
    throw new Error(`${PATH} can't be read`);
  }
  const value = {...(seen.value as object), weight: 1 + (n % 9)};
  const startedAt = performance.now();
  const told = await publisher.publish({
    callId: `publish-${n}`,
    token,
    path: PATH,
    base: seen.revision,
    value,
  });
  if (told.type !== 'accepted') throw new Error(JSON.stringify(told));
  for (const {client} of entries) {
    const shows = async () => {
      const now = await client.setting(token, PATH);
      return now !== undefined && now.revision > seen.revision;
    };
    while (!(await shows())) {
      if (performance.now() - startedAt > TIMEOUT_MS) {
        throw new Error(`${client.entryId} does not show publish ${n}`);
      }
      await timers.setTimeout(POLL_MS);
    }
  }
  return performance.now() - startedAt;
}
