/** Formats the result of a campaign. */
import type * as runCampaign from './run_campaign.js';

const MAX_FINDINGS = 20;
const MAX_TRACES = 3;

/** Returns one line if no promise was broken, otherwise findings and traces. */
export function formatCampaign(
  seed: number,
  {findings, counts, traces, folder}: runCampaign.CampaignResult,
): string {
  const {accepted, refused, unknown} = counts;
  const told = `${accepted} accepted, ${refused} refused, ${unknown} unknown`;
  const head = `seed ${seed}: ${told}; ${findings.length} findings`;
  if (findings.length === 0) return head;
  return [
    `${head}; logs of the entries: ${folder}`,
    ...findings
      .slice(0, MAX_FINDINGS)
      .map(({promise, detail}) => `  ${promise}: ${detail}`),
    ...traces.map(({jobId, summary}) => `  ${jobId}: ${summary}`),
    ...traces.slice(0, MAX_TRACES).map(({lines}) => `${lines}\n`),
  ].join('\n');
}
