/** The command `gypsumwall job result`. */
import * as oclif from '@oclif/core';
import * as callFlags from '../call_flags.js';

export class JobResultCommand extends oclif.Command {
  static override summary = 'Print the results of a job, one task a line.';
  static override description =
    'Ends with an error where the job failed, was cancelled or has not ended.';
  static override examples = [
    '<%= config.bin %> <%= command.id %> hall-a.4f2a --wait-ms 60000',
  ];
  static override args = {
    job: oclif.Args.string({required: true, description: 'id of the job'}),
  };
  static override flags = {
    ...callFlags.CALL_FLAGS,
    'wait-ms': oclif.Flags.integer({
      default: 0,
      min: 0,
      helpValue: 'MS',
      description: 'how long to wait for the end of the job',
    }),
    json: callFlags.JSON_FLAG,
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(JobResultCommand);
    const {printResults} = await import('../job_operations.js');
    await printResults(args.job, flags, (text) => this.log(text));
  }
}
