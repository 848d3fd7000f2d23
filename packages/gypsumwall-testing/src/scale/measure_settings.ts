/**
 * Measures the time from the publish of a setting until every entry of a cell
 * returns it, over real processes.
 */
import * as timers from 'node:timers/promises';
import * as hdr from 'hdr-histogram-js';
import * as exampleCell from '../example_cell.js';
import * as launchCell from '../launch_cell.js';

/** Results: the time from sending a publish until the last entry returns it. */
export interface SettingsMeasurement {
  readonly entries: number;
  readonly publishes: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

const PATH = 'teams/filing';
const POLL_INTERVAL_MS = 5;
const VISIBLE_TIMEOUT_MS = 12_000;

/** Starts the example cell and publishes one subtree repeatedly. */
export async function measureSettings(
  publishes: number,
): Promise<SettingsMeasurement> {
  const example = exampleCell.readExampleCell('skyroute');
  const cell = await launchCell.launchCell({
    ...example,
    entryCommand: exampleCell.ENTRY_COMMAND,
    isRelayed: false,
    seed: 1,
  });
  const latencies = hdr.build({numberOfSignificantValueDigits: 3});
  try {
    for (let n = 0; n < publishes; n += 1) {
      latencies.recordValue(Math.ceil(await publishOnce(cell, n)));
    }
    return {
      entries: cell.entries().length,
      publishes,
      p50Ms: latencies.getValueAtPercentile(50),
      p99Ms: latencies.getValueAtPercentile(99),
      maxMs: latencies.maxValue,
    };
  } finally {
    await cell.close();
  }
}

async function publishOnce(cell: launchCell.Cell, n: number): Promise<number> {
  const token = cell.options.tokens.rootOperator;
  const entries = cell.entries();
  const publisher = entries[n % entries.length]?.client;
  const before = await publisher?.setting(token, PATH);
  if (publisher === undefined || before === undefined) {
    throw new Error(`${PATH} can't be read`);
  }
  const value = {...(before.value as object), weight: 1 + (n % 9)};
  const startedAt = performance.now();
  const outcome = await publisher.publish({
    callId: `publish-${n}`,
    token,
    path: PATH,
    base: before.revision,
    value,
  });
  if (outcome.type !== 'accepted') throw new Error(JSON.stringify(outcome));
  for (const {client} of entries) {
    const isVisible = async () => {
      const now = await client.setting(token, PATH);
      return now !== undefined && now.revision > before.revision;
    };
    while (!(await isVisible())) {
      if (performance.now() - startedAt > VISIBLE_TIMEOUT_MS) {
        throw new Error(`${client.entryId} does not return publish ${n}`);
      }
      await timers.setTimeout(POLL_INTERVAL_MS);
    }
  }
  return performance.now() - startedAt;
}
