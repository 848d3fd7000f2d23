/** The command `gypsumwall settings check`. */
import * as oclif from '@oclif/core';
import * as callFlags from '../call_flags.js';

export class SettingsCheckCommand extends oclif.Command {
  static override summary = 'Check settings files; no entry is needed.';
  static override description =
    'Takes the settings of an entry and the tree of a cell, and tells them ' +
    'apart by what they hold. Each problem is told with file, line, path, ' +
    'value and remedy.';
  static override examples = [
    '<%= config.bin %> <%= command.id %> entry.jsonc cell.jsonc',
    '<%= config.bin %> <%= command.id %> --path teams/night-plans team.jsonc',
  ];
  static override strict = false;
  static override args = {
    file: oclif.Args.string({required: true, description: 'files to check'}),
  };
  static override flags = {
    path: oclif.Flags.string({
      helpValue: 'PATH',
      description: 'the files hold one subtree: cell or teams/TEAM',
    }),
    json: callFlags.JSON_FLAG,
  };

  override async run(): Promise<void> {
    const {argv, flags} = await this.parse(SettingsCheckCommand);
    const {checkSettings} = await import('../check_settings.js');
    const files = argv.map(String);
    checkSettings({...flags, files}, (text) => this.log(text));
  }
}
