/** The command `gypsumwall explain`. */
import * as oclif from '@oclif/core';
import * as callFlags from '../call_flags.js';

/** Explains where a job would go now. */
export class ExplainCommand extends oclif.Command {
  static override summary = 'Explain where a job would go now, and why.';
  static override description =
    'Nothing is sent to a worker and nothing is stored. Asks an entry on the ' +
    "users' platform at its metrics port; needs no token.";
  static override examples = [
    '<%= config.bin %> <%= command.id %> --job plan.json --queue plans --entry http://10.0.0.5:9464',
  ];
  static override flags = {
    entry: callFlags.CALL_FLAGS.entry,
    'timeout-ms': callFlags.CALL_FLAGS['timeout-ms'],
    job: oclif.Flags.string({
      required: true,
      helpValue: 'FILE',
      description: 'file of the job, or - for standard input',
    }),
    queue: oclif.Flags.string({
      required: true,
      helpValue: 'QUEUE',
      description: 'name of the queue, as in the log',
    }),
    organisation: oclif.Flags.string({
      helpValue: 'ID',
      description: 'organisation whose quota counts',
    }),
    json: callFlags.JSON_FLAG,
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(ExplainCommand);
    const {explainJob} = await import('../explain_job.js');
    await explainJob(flags, (text) => this.log(text));
  }
}
