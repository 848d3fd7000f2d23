/**
 * Measures handovers and heartbeats, and writes them as JSON:
 * `node packages/gypsumwall-membership/lib/bin/membership_bench.js OUT COMMIT`
 */
import * as fs from 'node:fs/promises';
import * as handoverBench from './handover_bench.js';
import * as heartbeatBench from './heartbeat_bench.js';

const SEED = 4;
const RUNS = 60;
const TTL_MS = 600;
const ENTRIES = 3;
const ENDINGS: readonly handoverBench.Ending[] = [
  'planned_stop',
  'killed',
  'machine_lost',
];
const PEER_COUNTS = [2, 8, 32, 64];
const HEARTBEATS = 2_400;

async function main(out: string, commit: string) {
  const handovers: handoverBench.Handovers[] = [];
  for (const ending of ENDINGS) {
    const options = {
      ending,
      entries: ENTRIES,
      runs: RUNS,
      ttlMs: TTL_MS,
      seed: SEED,
    };
    handovers.push(await handoverBench.measureHandovers(options));
    console.log(JSON.stringify(handovers.at(-1)));
  }
  const heartbeats: heartbeatBench.HeartbeatCost[] = [];
  for (const peers of PEER_COUNTS) {
    const cost = await heartbeatBench.measureHeartbeats(peers, HEARTBEATS);
    heartbeats.push(cost);
    console.log(JSON.stringify(cost));
  }
  const report = {commit, seed: SEED, node: process.version};
  const text = JSON.stringify({...report, handovers, heartbeats}, null, 2);
  await fs.writeFile(out, `${text}\n`);
}

const [out, commit] = process.argv.slice(2);
if (out === undefined || commit === undefined) {
  console.error('usage: membership_bench.js OUT COMMIT');
  process.exitCode = 2;
} else {
  await main(out, commit);
}
