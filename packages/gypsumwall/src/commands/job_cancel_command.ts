/** The command `gypsumwall job cancel`. */
import * as oclif from '@oclif/core';
import * as callFlags from '../call_flags.js';

export class JobCancelCommand extends oclif.Command {
  static override summary = 'Cancel a job.';
  static override description =
    'Queued tasks never start; running ones are stopped.';
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
    const {args, flags} = await this.parse(JobCancelCommand);
    const {cancelJob} = await import('../job_operations.js');
    await cancelJob(args.job, flags, (text) => this.log(text));
  }
}
