/** The command `gypsumwall job list`. */
import * as oclif from '@oclif/core';
import * as callFlags from '../call_flags.js';

export class JobListCommand extends oclif.Command {
  static override summary = 'List the jobs of your team.';
  static override description =
    'Lists the jobs whose home is the failure domain of the entry.';
  static override examples = ['<%= config.bin %> <%= command.id %> --json'];
  static override flags = {
    ...callFlags.CALL_FLAGS,
    json: callFlags.JSON_FLAG,
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(JobListCommand);
    const {listJobs} = await import('../job_operations.js');
    await listJobs(flags, (text) => this.log(text));
  }
}
