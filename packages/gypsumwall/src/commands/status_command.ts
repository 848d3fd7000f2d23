/** The command `gypsumwall status`. */
import * as oclif from '@oclif/core';
import * as callFlags from '../call_flags.js';

/** Shows an entry's view of the cell. */
export class StatusCommand extends oclif.Command {
  static override summary = 'Show what an entry believes.';
  static override description =
    'Membership, claim, queues, shares and settings, with how old each is. ' +
    'Needs the token of an operator.';
  static override examples = ['<%= config.bin %> <%= command.id %> --json'];
  static override flags = {
    ...callFlags.CALL_FLAGS,
    json: callFlags.JSON_FLAG,
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(StatusCommand);
    const {showStatus} = await import('../show_status.js');
    await showStatus(flags, (text) => this.log(text));
  }
}
