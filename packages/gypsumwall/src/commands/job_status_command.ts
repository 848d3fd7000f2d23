/** The command `gypsumwall job status`. */
import * as oclif from '@oclif/core';
import * as callFlags from '../call_flags.js';

export class JobStatusCommand extends oclif.Command {
  static override summary = 'Show the state of a job.';
  static override description =
    'Any entry answers for a job of any failure domain that it can reach.';
  static override examples = [
    '<%= config.bin %> <%= command.id %> hall-a.4f2a',
  ];
  static override args = {
    job: oclif.Args.string({required: true, description: 'id of the job'}),
  };
  static override flags = {
    ...callFlags.CALL_FLAGS,
    json: callFlags.JSON_FLAG,
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(JobStatusCommand);
    const {showJob} = await import('../job_operations.js');
    await showJob(args.job, flags, (text) => this.log(text));
  }
}
