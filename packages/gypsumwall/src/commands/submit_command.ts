/** The command `gypsumwall submit`. */
import * as oclif from '@oclif/core';
import * as callFlags from '../call_flags.js';

export class SubmitCommand extends oclif.Command {
  static override summary = 'Submit a job; prints its id.';
  static override description =
    'The file holds the job as in docs/API.md, comments allowed. A second ' +
    'call with the same key answers with the same job.';
  static override examples = [
    '<%= config.bin %> <%= command.id %> plans.jsonc --key plans-2024-05-01',
    'cat plans.jsonc | <%= config.bin %> <%= command.id %> -',
  ];
  static override args = {
    file: oclif.Args.string({
      required: true,
      description: 'file of the job, or - for standard input',
    }),
  };
  static override flags = {
    ...callFlags.CALL_FLAGS,
    key: callFlags.KEY_FLAG,
    json: callFlags.JSON_FLAG,
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(SubmitCommand);
    const {submitJob} = await import('../submit_job.js');
    const print = (text: string) => this.log(text);
    const warn = (text: string) => this.logToStderr(text);
    await submitJob(args.file, flags, print, warn);
  }
}
