/**
 * Hands the commands to oclif as a plugin made in code. oclif would look for
 * them in files, and the single binary has none beside it.
 */
import type * as oclif from '@oclif/core';
import * as product from './product.js';

/** Commands by id; a colon parts topic and command. */
export type CommandTable = Readonly<Record<string, oclif.Command.Class>>;

const TOPICS: oclif.Interfaces.Topic[] = [
  {name: 'settings', description: 'Check, publish and read settings.'},
  {name: 'job', description: 'Follow, cancel and list jobs.'},
];

/** The root plugin that oclif runs with. */
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
      loadableOf(id, command),
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

function loadableOf(
  id: string,
  command: oclif.Command.Class,
): oclif.Command.Loadable {
  command.id = id;
  return {
    id,
    aliases: [],
    hiddenAliases: [],
    args: withNames(command.args),
    flags: withNames(command.flags),
    description: command.description,
    summary: command.summary,
    examples: command.examples,
    hidden: false,
    strict: command.strict,
    pluginName: product.PRODUCT.name,
    load: () => Promise.resolve(command),
  };
}

/** oclif's help reads the name of a flag off the flag itself. */
function withNames<Described extends object>(
  table: Readonly<Record<string, Described>>,
): Record<string, Described & {name: string}> {
  return Object.fromEntries(
    Object.entries(table).map(([name, item]) => [name, {...item, name}]),
  );
}
