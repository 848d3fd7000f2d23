/** Every command of the binary. */
import type * as commandPlugin from './command_plugin.js';
import * as entryCommand from './commands/entry_command.js';

/** Commands by id; a colon parts topic and command. */
export const COMMAND_TABLE: commandPlugin.CommandTable = {
  entry: entryCommand.EntryCommand,
};
