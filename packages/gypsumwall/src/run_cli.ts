/** Runs a command of the binary. */
import * as path from 'node:path';
import * as oclif from '@oclif/core';
import * as commandPlugin from './command_plugin.js';
import * as commandTable from './command_table.js';
import * as fail from './fail.js';

/** Runs the command that `argv` names; reports its failure. */
export async function runCli(argv: readonly string[]): Promise<void> {
  const root = path.dirname(process.execPath);
  const plugin = commandPlugin.createCommandPlugin(
    root,
    commandTable.COMMAND_TABLE,
  );
  const plugins = new Map([[plugin.name, plugin]]);
  try {
    await oclif.run([...argv], {root, pjson: plugin.pjson, plugins});
    await oclif.flush();
  } catch (thrown) {
    await fail.reportFailure(thrown);
  }
}
