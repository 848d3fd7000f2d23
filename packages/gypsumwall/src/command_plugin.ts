/**
 * Gives the commands to oclif as a plugin that is defined in code. By default
 * oclif searches for commands in files, and the single binary has none.
 */
import type * as oclif from '@oclif/core';
import * as product from './product.js';

/** Commands by id; a colon separates topic and command. */
export type CommandTable = Readonly<Record<string, oclif.Command.Class>>;

const TOPICS: oclif.Interfaces.Topic[] = [
  {name: 'settings', description: 'Check, publish and read settings.'},
  {name: 'job', description: 'Follow, cancel and list jobs.'},
];

/** Creates the root plugin that oclif runs. */
export function createCommandPlugin(
  root: string,
  table: CommandTable,
): oclif.Interfaces.Plugin {
  const pjson: oclif.Interfaces.PJSON = {
    ...product.PRODUCT,
    oclif: {
      bin: product.PRODUCT.name,
      topicSeparator: ' ',
      topics: Object.fromEntries(TOPICS.map((topic) => [topic.name, topic])),
    },
  };
  const {name, version} = product.PRODUCT;
  return {
    _base: '',
    alias: name,
    commandIDs: Object.keys(table),
    commands: Object.entries(table).map(([id, command]) =>
      toLoadable(id, command),
    ),
    commandsDir: undefined,
    findCommand: ((id: string) =>
      Promise.resolve(table[id])) as oclif.Interfaces.Plugin['findCommand'],
    hasManifest: false,
    hooks: {},
    isRoot: true,
    load: () => Promise.resolve(),
    moduleType: 'module',
    name,
    options: {root},
    pjson,
    root,
    topics: TOPICS,
    type: 'core',
    valid: true,
    version,
  };
}

function toLoadable(
  id: string,
  command: oclif.Command.Class,
): oclif.Command.Loadable {
  command.id = id;
  return {
    id,
    aliases: [],
    hiddenAliases: [],
    args: addNames(command.args),
    flags: addNames(command.flags),
    description: command.description,
    summary: command.summary,
    examples: command.examples,
    hidden: false,
    strict: command.strict,
    pluginName: product.PRODUCT.name,
    load: () => Promise.resolve(command),
  };
}

/** Adds the names to the flags or arguments, where oclif's help reads them. */
function addNames<Described extends object>(
  table: Readonly<Record<string, Described>>,
): Record<string, Described & {name: string}> {
  return Object.fromEntries(
    Object.entries(table).map(([name, item]) => [name, {...item, name}]),
  );
}
