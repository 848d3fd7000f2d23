/**
 * `npm run soak:platform [-- --seeds N] [--from S] [--entries N]
 * [--organisations N] [--cpu-percent N] [--seconds N] [--crashes]
 * [--program FOLDER]`: runs deployed entries on the emulated platform with
 * overlapping faults that are drawn from the seeds S to S + N - 1, and prints a
 * line for each seed. Without `--from`, S is random. With `--crashes`, workers
 * often crash within a second before the holder is killed, while jobs have tasks
 * that wait. `--program` is the folder of another build; use `--organisations 0`
 * for one that doesn't know organisations. With few percent of a core the
 * holder has its peers call the workers. Exits with 1 if a promise was
 * broken; the entries' logs are then kept.
 */
import * as crypto from 'node:crypto';
import * as campaignOptions from '../campaign/campaign_options.js';
import * as campaignReport from '../campaign/campaign_report.js';
import * as runCampaign from '../campaign/run_campaign.js';

const DEPLOY_FILE = 'deploy/system.toml';
const RANDOM_SEEDS = 1_000_000;
/** Without `--entries`, a seed runs from 3 to 6 entries. */
const MIN_ENTRIES = 3;
const ENTRY_COUNTS = 4;

async function main(): Promise<number> {
  const command = campaignOptions.parseCampaignCommand(
    process.argv.slice(2),
    crypto.randomInt(RANDOM_SEEDS),
  );
  let broken = 0;
  for (const seed of command.seeds) {
    const result = await runCampaign.runCampaign({
      seed,
      entries: command.entries ?? MIN_ENTRIES + (seed % ENTRY_COUNTS),
      organisations: command.organisations,
      cpuShare: command.cpuShare,
      durationMs: command.durationMs,
      crashesBesideKills: command.crashesBesideKills,
      deployFile: DEPLOY_FILE,
      builtInto: command.program,
    });
    if (result.findings.length > 0) broken += 1;
    process.stdout.write(`${campaignReport.formatCampaign(seed, result)}\n`);
  }
  return broken === 0 ? 0 : 1;
}

try {
  process.exitCode = await main();
} catch (thrown) {
  process.stderr.write(`the campaign failed: ${String(thrown)}\n`);
  process.exitCode = 1;
}
