/** The command `gypsumwall settings diff`. */
import * as oclif from '@oclif/core';
import * as callFlags from '../call_flags.js';
import * as exitCodes from '../exit_codes.js';

/** Compares a file with the settings in force. */
export class SettingsDiffCommand extends oclif.Command {
  static override summary = 'Show what publishing a file would change.';
  static override description = `Ends with 0 where nothing differs and with ${exitCodes.EXIT_CODES.differs} where something does.`;
  static override examples = [
    '<%= config.bin %> <%= command.id %> cell.jsonc',
    '<%= config.bin %> <%= command.id %> --path teams/night-plans team.jsonc',
  ];
  static override args = {
    file: oclif.Args.string({required: true, description: 'file to compare'}),
  };
  static override flags = {
    ...callFlags.CALL_FLAGS,
    path: callFlags.SUBTREE_FLAG,
    json: callFlags.JSON_FLAG,
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(SettingsDiffCommand);
    const {diffSettings} = await import('../published_settings.js');
    const print = (text: string) => this.log(text);
    const differs = await diffSettings(args.file, flags, print);
    if (differs) this.exit(exitCodes.EXIT_CODES.differs);
  }
}
