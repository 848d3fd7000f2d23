/** The command `gypsumwall drain`. */
import * as oclif from '@oclif/core';
import * as callFlags from '../call_flags.js';

export class DrainCommand extends oclif.Command {
  static override summary = 'Start the planned stop of an entry.';
  static override description =
    'The entry takes nothing new, hands its claims over and finishes what is ' +
    'in flight. Needs the token of an operator.';
  static override examples = [
    '<%= config.bin %> <%= command.id %> --entry http://10.0.0.5:7000',
  ];
  static override flags = {...callFlags.CALL_FLAGS};

  override async run(): Promise<void> {
    const {flags} = await this.parse(DrainCommand);
    const {drainEntry} = await import('../show_status.js');
    await drainEntry(flags, (text) => this.log(text));
  }
}
